package coriandersill.wire;

import coriandersill.core.CallId;
import coriandersill.core.ErrorKind;
import coriandersill.core.Ran;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/** One message between processes of the system; byte arrays are not changed after a message is built. */
@SuppressWarnings("ArrayRecordComponent")
public sealed interface Message {

    /** A message about one attempt at a call. */
    sealed interface CallMessage extends Message {

        /** The attempt that the message is about. */
        CallAttempt call();
    }

    /**
     * One attempt at a call.
     *
     * @param id the call
     * @param attempt the attempt, from 1
     */
    record CallAttempt(CallId id, int attempt) {}

    /**
     * The first message in each direction.
     *
     * @param protocolVersion the newest protocol version that the sender speaks
     * @param lowestVersion the oldest protocol version that the sender speaks
     * @param peer who the sender is
     */
    record Hello(int protocolVersion, int lowestVersion, PeerIdentity peer) implements Message {}

    /**
     * Keep-alive with what every process shares.
     *
     * @param sequence counts up on one connection
     * @param configurationOffset the sender's newest configuration offset
     * @param load the load of a sidecar's upstream
     * @param stamp a mark of recency, from a sidecar
     * @param draining whether the sender takes no new work
     */
    record Ping(long sequence, long configurationOffset, Optional<Load> load, Optional<Stamp> stamp, boolean draining)
            implements Message {}

    /**
     * The load of one upstream.
     *
     * @param running running calls
     * @param waiting waiting calls
     * @param limit the present concurrency limit
     * @param cold whether a cold start holds the limit down
     * @param reservedTokens engine memory reserved, in tokens
     * @param memoryTokens engine memory, in tokens
     */
    record Load(int running, int waiting, int limit, boolean cold, long reservedTokens, long memoryTokens) {}

    /**
     * A mark of recency that a sidecar issues by its own clock.
     *
     * @param epoch drawn anew at each start of the sidecar
     * @param sequence counts up within an epoch
     */
    record Stamp(long epoch, long sequence) {}

    /**
     * What a call that may not be repeated carries for the last check before its upstream.
     *
     * @param key the idempotency key
     * @param fencingToken the claim's offset on the log
     * @param stamp the newest stamp that the entry has from the sidecar
     */
    record OnceOnly(String key, long fencingToken, Stamp stamp) {}

    /**
     * One HTTP header.
     *
     * @param name its name
     * @param value its value
     */
    record Header(String name, String value) {}

    /**
     * Hands a call to a sidecar.
     *
     * @param call the attempt
     * @param target what it is addressed to and counted against
     * @param remaining the time left for it
     * @param promptTokens the estimated length of the prompt in tokens
     * @param maxTokens the most tokens it may generate
     * @param credit how many tokens may be sent before more is granted
     * @param request the request for the upstream
     * @param onceOnly present when the call may not be repeated
     */
    record Dispatch(
            CallAttempt call,
            Target target,
            Duration remaining,
            int promptTokens,
            int maxTokens,
            int credit,
            UpstreamRequest request,
            Optional<OnceOnly> onceOnly)
            implements CallMessage {}

    /**
     * What a call is addressed to and counted against.
     *
     * @param workspace whose call it is
     * @param weight the workspace's weight
     * @param service the service
     * @param version the version that is to run it
     * @param route the route within the service
     * @param priority higher goes first within a workspace
     */
    record Target(String workspace, double weight, String service, String version, String route, int priority) {}

    /**
     * The request for the upstream.
     *
     * @param generation whether the answer is a stream of tokens
     * @param method the HTTP method
     * @param path the path at the upstream
     * @param headers the headers to pass on
     * @param body the body
     */
    record UpstreamRequest(boolean generation, String method, String path, List<Header> headers, byte[] body) {

        /** Copies the headers. */
        public UpstreamRequest {
            headers = List.copyOf(headers);
        }
    }

    /**
     * The call was handed to the upstream.
     *
     * @param call the attempt
     */
    record Accepted(CallAttempt call) implements CallMessage {}

    /**
     * The call was not run, and this attempt will not run it.
     *
     * @param call the attempt
     * @param kind why
     * @param text why, for people
     * @param retryAfter when to try again; zero for no advice
     */
    record Refused(CallAttempt call, ErrorKind kind, String text, Duration retryAfter) implements CallMessage {}

    /**
     * Tokens of a generation in order.
     *
     * @param call the attempt
     * @param firstIndex the index of the first of them, from 0
     * @param payloads one event of the upstream's stream each
     */
    record Tokens(CallAttempt call, long firstIndex, List<byte[]> payloads) implements CallMessage {

        /** Copies the list. */
        public Tokens {
            payloads = List.copyOf(payloads);
        }
    }

    /**
     * A generation has ended by itself.
     *
     * @param call the attempt
     * @param tokens how many tokens there were in all
     */
    record Finished(CallAttempt call, long tokens) implements CallMessage {}

    /**
     * A call that had been handed to the upstream failed.
     *
     * @param call the attempt
     * @param kind how
     * @param ran whether it ran
     * @param text how, for people
     * @param retryAfter when to try again; zero for no advice
     */
    record Failed(CallAttempt call, ErrorKind kind, Ran ran, String text, Duration retryAfter) implements CallMessage {}

    /**
     * The entry gives the call up.
     *
     * @param call the attempt
     */
    record Cancel(CallAttempt call) implements CallMessage {}

    /**
     * Allows that many more tokens.
     *
     * @param call the attempt
     * @param tokens how many
     */
    record Credit(CallAttempt call, int tokens) implements CallMessage {}

    /**
     * Takes a generation up again after a lost connection.
     *
     * @param call the attempt
     * @param nextIndex the first token that was not received
     * @param credit how many tokens may be sent
     */
    record Resume(CallAttempt call, long nextIndex, int credit) implements CallMessage {}

    /**
     * The whole answer of a plain call.
     *
     * @param call the attempt
     * @param status the HTTP status
     * @param headers the headers to pass on
     * @param body the body
     */
    record PlainResponse(CallAttempt call, int status, List<Header> headers, byte[] body) implements CallMessage {

        /** Copies the headers. */
        public PlainResponse {
            headers = List.copyOf(headers);
        }
    }

    /**
     * Asks a peer for its configuration.
     *
     * @param newerThan only if newer than this offset
     */
    record StateRequest(long newerThan) implements Message {}

    /**
     * A part of a peer's exported configuration.
     *
     * @param offset the offset of the exported configuration
     * @param part the part, from 0
     * @param parts how many parts there are
     * @param data the part's bytes
     */
    record StateReply(long offset, int part, int parts, byte[] data) implements Message {}

    /**
     * Summaries of rollout evidence.
     *
     * @param data in the form of the rollout library
     */
    record Evidence(byte[] data) implements Message {}

    /**
     * A rollout verdict.
     *
     * @param data in the form of the rollout library
     */
    record Verdict(byte[] data) implements Message {}

    /** A body that this version does not know; it is counted and ignored. */
    record Unknown() implements Message {}
}
