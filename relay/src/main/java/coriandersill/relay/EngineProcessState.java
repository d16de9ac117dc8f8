package coriandersill.relay;

/** Whether the process of an engine still runs, after connections to it broke. */
public enum EngineProcessState {
    /** The process that the listing describes still runs. */
    RUNNING,
    /** The process has ended: nothing listens on its address, or a process that started later does. */
    ENDED,
    /** The engine did not answer. */
    UNKNOWN
}
