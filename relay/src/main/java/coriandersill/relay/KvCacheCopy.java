package coriandersill.relay;

import coriandersill.upstreams.Upstream;

/**
 * A copy of a running generation's KV cache.
 *
 * @param source the engine that ran the generation
 * @param handle the source's identifier of the copy, for a single use
 */
public record KvCacheCopy(Upstream source, String handle) {}
