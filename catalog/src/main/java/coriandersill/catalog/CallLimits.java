package coriandersill.catalog;

/**
 * What callers may send.
 *
 * @param bodyBytes the largest body
 */
public record CallLimits(long bodyBytes) {}
