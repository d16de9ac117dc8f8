package coriandersill.relay;

/** Whether the process of an engine still runs, after connections to it broke. */
public enum EngineProcessState {
    /** A process still listens on the engine's address, and states no later start than the listing. */
    RUNNING,
    /** The process has ended: nothing listens on its address, or a process that started later does. */
    ENDED,
    /** Nothing answered, or what answered may be another process. */
    UNKNOWN
}
