package coriandersill.wire;

import coriandersill.core.CallId;
import coriandersill.core.ErrorKind;
import coriandersill.core.Ran;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/** One message between processes of the system; its byte arrays must not be modified once it is built. */
@SuppressWarnings("ArrayRecordComponent")
public sealed interface Message {

    /** A message about one attempt at a call. */
    sealed interface CallMessage extends Message {

        /** The attempt that the message is about. */
        CallAttempt attempt();
    }

    /**
     * One attempt at a call.
     *
     * @param callId the id of the call
     * @param number the number of the attempt, starting at 1
     */
    record CallAttempt(CallId callId, int number) {}

    /**
     * The first message in each direction.
     *
     * @param maxProtocolVersion the newest protocol version that the sender supports
     * @param minProtocolVersion the oldest protocol version that the sender supports
     * @param peer the identity of the sender
     */
    record Hello(int maxProtocolVersion, int minProtocolVersion, PeerIdentity peer) implements Message {}

    /**
     * Keep-alive, which also carries the state that every process publishes to its peers.
     *
     * @param sequence increases with each ping of the sender
     * @param configurationPosition the sender's newest configuration position
     * @param load the load of a sidecar's upstream; empty unless the sender is a sidecar
     * @param stamp the newest stamp of a sidecar; empty unless the sender is a sidecar that serves non-idempotent calls
     * @param draining whether the sender is draining and accepts no new calls
     * @param upstream what the upstream of a sidecar said of itself; empty if the sender is no sidecar
     */
    record Ping(
            long sequence,
            long configurationPosition,
            Optional<Load> load,
            Optional<Stamp> stamp,
            boolean draining,
            Optional<UpstreamNotice> upstream)
            implements Message {

        /** Creates a ping without a statement of an upstream. */
        public Ping(
                long sequence,
                long configurationPosition,
                Optional<Load> load,
                Optional<Stamp> stamp,
                boolean draining) {
            this(sequence, configurationPosition, load, stamp, draining, Optional.empty());
        }
    }

    /**
     * What a process of an upstream said of itself, as its sidecar passes it on.
     *
     * @param process a number that grows with each process of the upstream that the sidecar has seen
     * @param leaving whether the upstream leaves and wants no new work
     * @param quietTime how much longer it wants no request; zero if it accepts some
     */
    record UpstreamNotice(long process, boolean leaving, Duration quietTime) {}

    /**
     * The load of one upstream.
     *
     * @param running the number of running calls
     * @param waiting the number of queued calls
     * @param limit the current concurrency limit
     * @param cold whether the limit is reduced because of a cold start
     * @param reservedTokens the reserved engine memory, in tokens
     * @param memoryTokens the total engine memory, in tokens
     */
    record Load(int running, int waiting, int limit, boolean cold, long reservedTokens, long memoryTokens) {}

    /**
     * A timestamp that a sidecar issues and later checks against its own clock only, to refuse dispatches that are too
     * old.
     *
     * @param epoch a value drawn at random at each start of the sidecar
     * @param elapsedMillis the milliseconds since the start of the epoch, by the sidecar's clock
     */
    record Stamp(long epoch, long elapsedMillis) {}

    /**
     * Data of a non-idempotent call, which must not be executed twice, for the final check before it is sent to its
     * upstream.
     *
     * @param key the idempotency key
     * @param fencingToken the log offset of the claim
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
     * Sends a call to a sidecar.
     *
     * @param attempt the attempt
     * @param target the service that the call is for and the workspace that it is accounted to
     * @param remaining the time left until the deadline of the call
     * @param promptTokens the estimated length of the prompt in tokens
     * @param maxTokens the maximum number of tokens to generate
     * @param credit the number of tokens that may be sent before more credit is granted
     * @param request the request for the upstream
     * @param onceOnly present if the call is non-idempotent
     */
    record Dispatch(
            CallAttempt attempt,
            Target target,
            Duration remaining,
            int promptTokens,
            int maxTokens,
            int credit,
            UpstreamRequest request,
            Optional<OnceOnly> onceOnly)
            implements CallMessage {}

    /**
     * The service that a call is for and the workspace that it is accounted to.
     *
     * @param workspace the workspace of the caller
     * @param weight the fair-share weight of the workspace
     * @param service the service
     * @param version the version that has to execute the call
     * @param route the route within the service
     * @param priority among calls of one workspace, those with a larger value are admitted first
     */
    record Target(String workspace, double weight, String service, String version, String route, int priority) {}

    /**
     * The request for the upstream.
     *
     * @param generation whether the response is a stream of tokens
     * @param method the HTTP method
     * @param path the path on the upstream
     * @param headers the headers to forward
     * @param body the body
     */
    record UpstreamRequest(boolean generation, String method, String path, List<Header> headers, byte[] body) {

        /** Copies the headers. */
        public UpstreamRequest {
            headers = List.copyOf(headers);
        }
    }

    /**
     * The call was sent to the upstream.
     *
     * @param attempt the attempt
     */
    record Accepted(CallAttempt attempt) implements CallMessage {}

    /**
     * The call was not executed, and this attempt will not execute it.
     *
     * @param attempt the attempt
     * @param kind the kind of the failure
     * @param text a human-readable message
     * @param retryAfter the time to wait before a retry; zero if the sidecar gives none
     */
    record Refused(CallAttempt attempt, ErrorKind kind, String text, Duration retryAfter) implements CallMessage {}

    /**
     * Tokens of a generation, in order.
     *
     * @param attempt the attempt
     * @param firstIndex the index of the first of these tokens, from 0
     * @param payloads one event of the upstream's stream per token
     */
    record Tokens(CallAttempt attempt, long firstIndex, List<byte[]> payloads) implements CallMessage {

        /** Copies the list. */
        public Tokens {
            payloads = List.copyOf(payloads);
        }
    }

    /**
     * A generation is complete.
     *
     * @param attempt the attempt
     * @param tokens the total number of tokens
     */
    record Finished(CallAttempt attempt, long tokens) implements CallMessage {}

    /**
     * A call that was sent to the upstream has failed.
     *
     * @param attempt the attempt
     * @param kind the kind of the failure
     * @param ran whether the upstream executed the call
     * @param text a human-readable message
     * @param retryAfter the time to wait before a retry; zero if the sidecar gives none
     */
    record Failed(CallAttempt attempt, ErrorKind kind, Ran ran, String text, Duration retryAfter)
            implements CallMessage {}

    /**
     * The entry cancels the call.
     *
     * @param attempt the attempt
     */
    record Cancel(CallAttempt attempt) implements CallMessage {}

    /**
     * Grants credit for more tokens.
     *
     * @param attempt the attempt
     * @param tokens the number of further tokens that may be sent
     */
    record Credit(CallAttempt attempt, int tokens) implements CallMessage {}

    /**
     * Resumes a generation after a lost connection.
     *
     * @param attempt the attempt
     * @param nextIndex the index of the first token that was not received
     * @param credit the number of tokens that may be sent, from {@code nextIndex} on
     */
    record Resume(CallAttempt attempt, long nextIndex, int credit) implements CallMessage {}

    /**
     * The complete response of a plain call.
     *
     * @param attempt the attempt
     * @param status the HTTP status
     * @param headers the headers to forward
     * @param body the body
     */
    record PlainResponse(CallAttempt attempt, int status, List<Header> headers, byte[] body) implements CallMessage {

        /** Copies the headers. */
        public PlainResponse {
            headers = List.copyOf(headers);
        }
    }

    /**
     * Requests the configuration of a peer.
     *
     * @param newerThan the peer replies only if its configuration is newer than this position
     */
    record StateRequest(long newerThan) implements Message {}

    /**
     * One part of a peer's exported configuration.
     *
     * @param position the position of the exported configuration
     * @param part the index of the part, from 0
     * @param parts the number of parts
     * @param data the part's bytes
     */
    record StateReply(long position, int part, int parts, byte[] data) implements Message {}

    /**
     * A rollout message to a single entry: a summary of evidence, verdicts, or both.
     *
     * @param data the payload, as encoded by the rollout-log module
     */
    record Evidence(byte[] data) implements Message {}

    /**
     * The rollout verdicts of the sender, broadcast to all peers.
     *
     * @param data the payload, as encoded by the rollout-log module
     */
    record Verdict(byte[] data) implements Message {}

    /** A message of a type that this version does not know; a receiver ignores it, or only records it. */
    record Unknown() implements Message {}
}
