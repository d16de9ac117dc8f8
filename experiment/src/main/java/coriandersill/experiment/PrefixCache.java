package coriandersill.experiment;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/** A cache of prompt prefixes, bounded in blocks, that evicts the least recently used prefix first. */
final class PrefixCache {
    private final int capacityBlocks;
    private final Map<Long, Integer> blocksByPrefix = new LinkedHashMap<>(16, 0.75f, true);
    private int usedBlocks;

    PrefixCache(int capacityBlocks) {
        this.capacityBlocks = capacityBlocks;
    }

    /** Marks a prefix as the most recently used one and returns true, or returns false if it is not cached. */
    boolean touch(long prefix) {
        return blocksByPrefix.get(prefix) != null;
    }

    /** Caches a prefix of {@code blocks} blocks, unless it is 0 (no prefix), empty or larger than the whole cache. */
    void add(long prefix, int blocks) {
        if (prefix == 0 || blocks == 0 || blocks > capacityBlocks || touch(prefix)) {
            return;
        }
        Iterator<Integer> oldest = blocksByPrefix.values().iterator();
        while (usedBlocks + blocks > capacityBlocks) {
            usedBlocks -= oldest.next();
            oldest.remove();
        }
        blocksByPrefix.put(prefix, blocks);
        usedBlocks += blocks;
    }

    void clear() {
        blocksByPrefix.clear();
        usedBlocks = 0;
    }

    int usedBlocks() {
        return usedBlocks;
    }
}
