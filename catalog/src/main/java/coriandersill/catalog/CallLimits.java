package coriandersill.catalog;

import java.time.Duration;

/**
 * What callers may send, and how long they may take.
 *
 * @param headerBytes the largest head of a request
 * @param bodyBytes the largest body
 * @param headerTime the longest time a caller takes to send a head
 * @param idleTime how long a connection without a request is kept open
 */
public record CallLimits(int headerBytes, long bodyBytes, Duration headerTime, Duration idleTime) {}
