package coriandersill.experiment;

import coriandersill.core.CallId;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * One engine that batches continuously, in virtual time.
 *
 * <p>Memory is taken in blocks as sequences grow. When none is free, the sequence of the lowest priority and latest
 * start is preempted: it loses its blocks and is computed again from its prompt and the tokens generated so far. The
 * caller drives it: {@link #startIteration} returns when the iteration ends, and {@link #endIteration} then delivers
 * its tokens. Not safe for use by many threads.
 */
final class EngineModel {
    private static final Comparator<Sequence> CHEAPEST_FIRST = Comparator.<Sequence>comparingInt(
                    sequence -> sequence.request.priority())
            .thenComparing(Comparator.comparingLong((Sequence sequence) -> sequence.order)
                    .reversed());

    private final EngineSpec spec;
    private final EngineListener listener;
    private final PrefixCache cache;
    private final Map<CallId, Sequence> sequences = new HashMap<>();
    private final Deque<Sequence> waiting = new ArrayDeque<>();
    private final List<Sequence> running = new ArrayList<>();
    private int freeBlocks;
    private long nextOrder;
    private long coldNanosLeft;
    private long downUntil = Long.MIN_VALUE;
    private long preemptions;
    private long coldViolations;
    private boolean busy;

    EngineModel(EngineSpec spec, EngineListener listener) {
        this.spec = spec;
        this.listener = listener;
        this.cache = new PrefixCache(spec.cacheBlocks());
        this.freeBlocks = spec.blocks();
    }

    /** Takes a generation; a cold engine that is given more than it bears falls over and fails them all. */
    void submit(EngineRequest request, long now) {
        if (now < downUntil) {
            listener.ended(request.id(), false);
            return;
        }
        Sequence sequence = new Sequence(request);
        sequences.put(request.id(), sequence);
        waiting.addLast(sequence);
        if (cold() && sequences.size() > spec.coldLimit()) {
            coldViolations++;
            fallOver(now);
        }
    }

    /** Ends a generation early and frees its memory; unknown ones are ignored. */
    void cancel(CallId id) {
        Sequence sequence = sequences.remove(id);
        if (sequence != null) {
            waiting.remove(sequence);
            running.remove(sequence);
            release(sequence);
        }
    }

    /** Makes the engine cold and empties its prefix cache. */
    void turnCold() {
        coldNanosLeft = spec.warmUpNanos();
        cache.clear();
    }

    /** Breaks off every generation and starts cold after the restart time. */
    void fallOver(long now) {
        List<Sequence> lost = new ArrayList<>(sequences.values());
        lost.sort(Comparator.comparing(sequence -> sequence.request.id().toString()));
        sequences.clear();
        waiting.clear();
        running.clear();
        freeBlocks = spec.blocks();
        turnCold();
        downUntil = now + spec.restartNanos();
        lost.forEach(sequence -> listener.ended(sequence.request.id(), false));
    }

    /** Starts an iteration if there is work and none is under way; returns its length in nanoseconds, or -1. */
    long startIteration(long now) {
        if (busy || sequences.isEmpty() || now < downUntil) {
            return -1;
        }
        admitWaiting();
        int decoding = reserveDecodeBlocks();
        int prefilled = planPrefill();
        busy = true;
        double nanos = spec.baseNanos()
                + (double) spec.perSequenceNanos() * decoding
                + (double) spec.perPrefillTokenNanos() * prefilled;
        long length = (long) (cold() ? nanos * spec.coldFactor() : nanos);
        coldNanosLeft = Math.max(0, coldNanosLeft - length);
        return length;
    }

    /** Ends the iteration and delivers its tokens. */
    void endIteration() {
        busy = false;
        for (Sequence sequence : List.copyOf(running)) {
            if (!sequence.inIteration) {
                continue;
            }
            sequence.inIteration = false;
            if (sequence.prefilled >= sequence.contextTokens()) {
                cache.add(sequence.request.prefix(), spec.blocksFor(sequence.request.prefixTokens()));
                emit(sequence);
            }
        }
    }

    boolean cold() {
        return coldNanosLeft > 0;
    }

    int held() {
        return sequences.size();
    }

    int freeBlocks() {
        return freeBlocks;
    }

    long preemptions() {
        return preemptions;
    }

    long coldViolations() {
        return coldViolations;
    }

    PrefixCache cache() {
        return cache;
    }

    private void emit(Sequence sequence) {
        sequence.generated++;
        sequence.prefilled = sequence.contextTokens();
        listener.token(sequence.request.id());
        if (sequence.generated >= sequence.request.outputTokens()) {
            cancel(sequence.request.id());
            listener.ended(sequence.request.id(), true);
        }
    }

    private void admitWaiting() {
        while (!waiting.isEmpty() && running.size() < spec.maxBatch()) {
            Sequence next = waiting.peekFirst();
            int blocks = spec.blocksFor(next.contextTokens() + 1);
            if (blocks > freeBlocks) {
                return;
            }
            waiting.removeFirst();
            freeBlocks -= blocks;
            next.blocks = blocks;
            next.order = nextOrder++;
            next.prefilled = cache.contains(next.request.prefix())
                    ? Math.min(next.request.prefixTokens(), next.contextTokens() - 1)
                    : 0;
            running.add(next);
        }
    }

    private int reserveDecodeBlocks() {
        int decoding = 0;
        for (Sequence sequence : List.copyOf(running)) {
            if (!sequence.started || sequence.blocks == 0) {
                continue;
            }
            int needed = spec.blocksFor(sequence.contextTokens() + 1) - sequence.blocks;
            while (needed > freeBlocks && sequence.blocks > 0) {
                preempt(running.stream().min(CHEAPEST_FIRST).orElseThrow());
            }
            if (sequence.blocks == 0) {
                continue;
            }
            freeBlocks -= needed;
            sequence.blocks += needed;
            sequence.inIteration = true;
            decoding++;
        }
        return decoding;
    }

    private int planPrefill() {
        int budget = spec.prefillChunk();
        for (Sequence sequence : running) {
            if (sequence.started || budget == 0) {
                continue;
            }
            int chunk = Math.min(budget, sequence.contextTokens() - sequence.prefilled);
            sequence.prefilled += chunk;
            budget -= chunk;
            if (sequence.prefilled >= sequence.contextTokens()) {
                sequence.inIteration = true;
                sequence.started = true;
            }
        }
        return spec.prefillChunk() - budget;
    }

    private void preempt(Sequence victim) {
        preemptions++;
        running.remove(victim);
        release(victim);
        victim.started = false;
        victim.inIteration = false;
        victim.prefilled = 0;
        waiting.addFirst(victim);
    }

    private void release(Sequence sequence) {
        freeBlocks += sequence.blocks;
        sequence.blocks = 0;
    }

    /** One generation inside the engine. */
    private static final class Sequence {
        private final EngineRequest request;
        private int generated;
        private int prefilled;
        private int blocks;
        private long order;
        private boolean started;
        private boolean inIteration;

        private Sequence(EngineRequest request) {
            this.request = request;
        }

        private int contextTokens() {
            return request.promptTokens() + generated;
        }
    }
}
