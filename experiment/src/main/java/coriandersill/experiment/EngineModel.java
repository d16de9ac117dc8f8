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
 * A model of an engine with continuous batching, in virtual time.
 *
 * <p>Memory is allocated in blocks as sequences grow. When no block is free, the sequence with the lowest priority is
 * preempted, and among equals the one started last: its blocks are freed, and it is later recomputed from its prompt
 * and the tokens generated so far. The caller drives the model: {@link #startIteration} returns the length of the
 * iteration, and {@link #endIteration} must be called after that time and delivers the tokens. Not thread-safe.
 */
final class EngineModel {
    private static final Comparator<Sequence> PREEMPTION_ORDER = Comparator.<Sequence>comparingInt(
                    sequence -> sequence.request.priority())
            .thenComparing(Comparator.comparingLong((Sequence sequence) -> sequence.startOrder)
                    .reversed());

    private final EngineSpec spec;
    private final EngineListener listener;
    private final PrefixCache prefixCache;
    private final Map<CallId, Sequence> sequences = new HashMap<>();
    private final Deque<Sequence> waiting = new ArrayDeque<>();
    private final List<Sequence> running = new ArrayList<>();
    private int freeBlocks;
    private long nextStartOrder;
    private long remainingColdNanos;
    private long downUntilNanos = Long.MIN_VALUE;
    private long preemptions;
    private long coldViolations;
    private boolean iterationInProgress;

    EngineModel(EngineSpec spec, EngineListener listener) {
        this.spec = spec;
        this.listener = listener;
        this.prefixCache = new PrefixCache(spec.cacheBlocks());
        this.freeBlocks = spec.blocks();
    }

    /**
     * Queues a generation. A cold engine that then holds more than {@link EngineSpec#coldConcurrency} generations
     * crashes and fails all of them; an engine that is down fails the generation immediately.
     */
    void submit(EngineRequest request, long nowNanos) {
        if (nowNanos < downUntilNanos) {
            listener.generationEnded(request.id(), false);
            return;
        }
        Sequence sequence = new Sequence(request);
        sequences.put(request.id(), sequence);
        waiting.addLast(sequence);
        if (isCold() && sequences.size() > spec.coldConcurrency()) {
            coldViolations++;
            crash(nowNanos);
        }
    }

    /** Removes a generation, whether it is complete or not, and frees its memory; unknown ids are ignored. */
    void cancel(CallId id) {
        Sequence sequence = sequences.remove(id);
        if (sequence != null) {
            waiting.remove(sequence);
            running.remove(sequence);
            release(sequence);
        }
    }

    /** Makes the engine cold and clears its prefix cache; running generations continue. */
    void resetToCold() {
        remainingColdNanos = spec.warmUpNanos();
        prefixCache.clear();
    }

    /** Fails all generations, in the order of their ids, and restarts the engine, which is then cold. */
    void crash(long nowNanos) {
        List<Sequence> lost = new ArrayList<>(sequences.values());
        lost.sort(Comparator.comparing(sequence -> sequence.request.id().toString()));
        sequences.clear();
        waiting.clear();
        running.clear();
        freeBlocks = spec.blocks();
        resetToCold();
        downUntilNanos = nowNanos + spec.restartNanos();
        lost.forEach(sequence -> listener.generationEnded(sequence.request.id(), false));
    }

    /**
     * Starts an iteration and returns its length in nanoseconds, or returns -1 if there is no work, an iteration is
     * already in progress, or the engine is down.
     */
    long startIteration(long nowNanos) {
        if (iterationInProgress || sequences.isEmpty() || nowNanos < downUntilNanos) {
            return -1;
        }
        startWaitingSequences();
        int decoding = reserveDecodeBlocks();
        int prefilled = planPrefill();
        iterationInProgress = true;
        double nanos = spec.baseNanos()
                + (double) spec.perSequenceNanos() * decoding
                + (double) spec.perPrefillTokenNanos() * prefilled;
        long lengthNanos = (long) (isCold() ? nanos * spec.coldSlowdownFactor() : nanos);
        remainingColdNanos = Math.max(0, remainingColdNanos - lengthNanos);
        return lengthNanos;
    }

    /** Ends the current iteration and delivers its tokens to the listener. */
    void endIteration() {
        iterationInProgress = false;
        for (Sequence sequence : List.copyOf(running)) {
            if (!sequence.emitsToken) {
                continue;
            }
            sequence.emitsToken = false;
            if (sequence.prefilledTokens >= sequence.contextTokens()) {
                prefixCache.add(sequence.request.prefix(), spec.blocksFor(sequence.request.prefixTokens()));
                emit(sequence);
            }
        }
    }

    boolean isCold() {
        return remainingColdNanos > 0;
    }

    int sequenceCount() {
        return sequences.size();
    }

    int freeBlocks() {
        return freeBlocks;
    }

    long preemptions() {
        return preemptions;
    }

    /** Returns how often the engine crashed because it held too many generations while cold. */
    long coldViolations() {
        return coldViolations;
    }

    PrefixCache prefixCache() {
        return prefixCache;
    }

    private void emit(Sequence sequence) {
        sequence.generatedTokens++;
        sequence.prefilledTokens = sequence.contextTokens();
        listener.tokenGenerated(sequence.request.id());
        if (sequence.generatedTokens >= sequence.request.outputTokens()) {
            cancel(sequence.request.id());
            listener.generationEnded(sequence.request.id(), true);
        }
    }

    private void startWaitingSequences() {
        while (!waiting.isEmpty() && running.size() < spec.maxBatchSequences()) {
            Sequence next = waiting.peekFirst();
            int blocks = spec.blocksFor(next.contextTokens() + 1);
            if (blocks > freeBlocks) {
                return;
            }
            waiting.removeFirst();
            freeBlocks -= blocks;
            next.blocks = blocks;
            next.startOrder = nextStartOrder++;
            // At least one token is prefilled, because its result determines the first output token.
            next.prefilledTokens = prefixCache.touch(next.request.prefix())
                    ? Math.min(next.request.prefixTokens(), next.contextTokens() - 1)
                    : 0;
            running.add(next);
        }
    }

    private int reserveDecodeBlocks() {
        int decoding = 0;
        for (Sequence sequence : List.copyOf(running)) {
            // A sequence without blocks was preempted earlier in this loop.
            if (!sequence.prefillComplete || sequence.blocks == 0) {
                continue;
            }
            int needed = spec.blocksFor(sequence.contextTokens() + 1) - sequence.blocks;
            while (needed > freeBlocks && sequence.blocks > 0) {
                preempt(running.stream().min(PREEMPTION_ORDER).orElseThrow());
            }
            if (sequence.blocks == 0) {
                continue;
            }
            freeBlocks -= needed;
            sequence.blocks += needed;
            sequence.emitsToken = true;
            decoding++;
        }
        return decoding;
    }

    private int planPrefill() {
        int budget = spec.maxPrefillChunkTokens();
        for (Sequence sequence : running) {
            if (sequence.prefillComplete || budget == 0) {
                continue;
            }
            int chunk = Math.min(budget, sequence.contextTokens() - sequence.prefilledTokens);
            sequence.prefilledTokens += chunk;
            budget -= chunk;
            if (sequence.prefilledTokens >= sequence.contextTokens()) {
                sequence.emitsToken = true;
                sequence.prefillComplete = true;
            }
        }
        return spec.maxPrefillChunkTokens() - budget;
    }

    /** Frees the blocks of a running sequence and puts it at the head of the queue, ahead of new requests. */
    private void preempt(Sequence victim) {
        preemptions++;
        running.remove(victim);
        release(victim);
        victim.prefillComplete = false;
        victim.emitsToken = false;
        victim.prefilledTokens = 0;
        waiting.addFirst(victim);
    }

    private void release(Sequence sequence) {
        freeBlocks += sequence.blocks;
        sequence.blocks = 0;
    }

    /** The state of one generation in the engine. */
    private static final class Sequence {
        private final EngineRequest request;
        private int generatedTokens;
        private int prefilledTokens;
        private int blocks;
        private long startOrder;
        private boolean prefillComplete;
        /** Whether the sequence generates a token in the current iteration; false while its prefill is incomplete. */
        private boolean emitsToken;

        private Sequence(EngineRequest request) {
            this.request = request;
        }

        private int contextTokens() {
            return request.promptTokens() + generatedTokens;
        }
    }
}
