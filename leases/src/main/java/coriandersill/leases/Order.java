package coriandersill.leases;

/** An order to an engine, carrying the fencing token of the lease under which it is given. */
public sealed interface Order {

    /** The fencing token. */
    long token();

    /**
     * Loads a model.
     *
     * @param token the fencing token
     * @param model the model
     */
    record LoadModel(long token, String model) implements Order {}

    /**
     * Loads an adapter of a model.
     *
     * @param token the fencing token
     * @param adapter the adapter
     */
    record LoadAdapter(long token, String adapter) implements Order {}

    /**
     * Loads a version of the service.
     *
     * @param token the fencing token
     * @param version the version
     */
    record LoadVersion(long token, String version) implements Order {}

    /**
     * Changes what the engine does: prefill, decode or both.
     *
     * @param token the fencing token
     * @param role the role
     */
    record ChangeRole(long token, String role) implements Order {}
}
