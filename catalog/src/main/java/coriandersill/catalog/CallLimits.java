package coriandersill.catalog;

/**
 * What callers may send.
 *
 * @param maxBodyBytes the largest body
 */
public record CallLimits(long maxBodyBytes) {}
