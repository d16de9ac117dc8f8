package coriandersill.soak;

/**
 * How many calls each engine works on at a time, how many wait beyond these, how long an event takes, and how entries
 * reach it.
 *
 * @param slots the number of calls that it works on
 * @param maxWaiting the number of calls that wait
 * @param eventIntervalMillis the time between the events of a stream
 * @param proxied whether entries reach it through a proxy, which passes on the end of a connection with a delay
 */
record EngineShape(int slots, int maxWaiting, long eventIntervalMillis, boolean proxied) {
    /** Engines that are never full and stream for less than a second. */
    static final EngineShape WIDE = new EngineShape(Integer.MAX_VALUE, 0, 20, true);

    /** Engines that are full soon and stream for some seconds. */
    static final EngineShape NARROW = new EngineShape(4, 3, 80, true);

    /** Engines that are never full, stream for some seconds, and whose streams end at once with their connections. */
    static final EngineShape DIRECT = new EngineShape(Integer.MAX_VALUE, 0, 60, false);
}
