package coriandersill.catalog;

/**
 * Limits for callers' requests.
 *
 * @param maxBodyBytes the maximum size of a request body in bytes
 */
public record CallLimits(long maxBodyBytes) {}
