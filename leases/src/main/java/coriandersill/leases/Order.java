package coriandersill.leases;

/** An order to an engine, with the fencing token of the lease under which it is issued. */
public sealed interface Order {

    /** The fencing token of the lease. */
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
     * Loads a version of a service.
     *
     * @param token the fencing token
     * @param version the version
     */
    record LoadVersion(long token, String version) implements Order {}

    /**
     * Changes the role of the engine: prefill, decode or both.
     *
     * @param token the fencing token
     * @param role the role
     */
    record ChangeRole(long token, String role) implements Order {}
}
