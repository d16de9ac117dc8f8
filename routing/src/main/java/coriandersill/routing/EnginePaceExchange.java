package coriandersill.routing;

/** Tells the other entries the lasting paces of engines; the method must not block. */
@FunctionalInterface
public interface EnginePaceExchange {
    /** An exchange without other entries. */
    EnginePaceExchange NONE = report -> {};

    /** Publishes the pace of an engine. */
    void publish(EnginePaceReport report);
}
