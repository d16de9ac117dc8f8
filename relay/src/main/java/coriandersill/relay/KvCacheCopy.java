package coriandersill.relay;

import coriandersill.upstreams.Upstream;

/**
 * A copy of a running generation's memory.
 *
 * @param source the engine that ran the generation
 * @param handle the source's name for the copy; used once
 */
public record KvCacheCopy(Upstream source, String handle) {}
