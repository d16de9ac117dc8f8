package coriandersill.experiment;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/** Cached prompt prefixes within a bounded number of blocks; the least recently used ones go first. */
final class PrefixCache {
    private final int capacity;
    private final Map<Long, Integer> blocksByPrefix = new LinkedHashMap<>(16, 0.75f, true);
    private int used;

    PrefixCache(int capacity) {
        this.capacity = capacity;
    }

    /** Whether the prefix is cached; one that is counts as used now. */
    boolean contains(long prefix) {
        return blocksByPrefix.get(prefix) != null;
    }

    /** Keeps a prefix of {@code blocks} blocks, unless it is larger than the whole cache. */
    void add(long prefix, int blocks) {
        if (prefix == 0 || blocks == 0 || blocks > capacity || contains(prefix)) {
            return;
        }
        Iterator<Integer> oldest = blocksByPrefix.values().iterator();
        while (used + blocks > capacity) {
            used -= oldest.next();
            oldest.remove();
        }
        blocksByPrefix.put(prefix, blocks);
        used += blocks;
    }

    void clear() {
        blocksByPrefix.clear();
        used = 0;
    }

    int usedBlocks() {
        return used;
    }
}
