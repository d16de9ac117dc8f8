package coriandersill.wire.internal;

import com.google.protobuf.ByteString;
import com.google.protobuf.UnsafeByteOperations;
import coriandersill.core.AvailabilityZone;
import coriandersill.core.CallId;
import coriandersill.core.ErrorKind;
import coriandersill.core.InstanceId;
import coriandersill.core.Ran;
import coriandersill.wire.Message;
import coriandersill.wire.PeerIdentity;
import coriandersill.wire.proto.Frames;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Converts messages to frames and back.
 *
 * <p>An unknown error kind is decoded as {@code INTERNAL}, and an unknown value of {@code ran} as {@code UNKNOWN}: both
 * promise nothing about whether the call was executed.
 */
final class MessageCodec {
    private MessageCodec() {}

    static Frames.Frame encode(Message message) {
        Frames.Frame.Builder frame = Frames.Frame.newBuilder();
        if (message instanceof Message.Tokens tokens) {
            frame.setTokens(encodeTokens(tokens));
        } else if (message instanceof Message.Credit credit) {
            frame.setCredit(
                    Frames.Credit.newBuilder().setCall(encodeCall(credit)).setTokens(credit.tokens()));
        } else if (message instanceof Message.Dispatch dispatch) {
            frame.setDispatch(DispatchCodec.encode(dispatch));
        } else if (message instanceof Message.CallMessage callMessage) {
            encodeCallMessage(frame, callMessage);
        } else {
            encodeProcessMessage(frame, message);
        }
        return frame.build();
    }

    private static Frames.Tokens encodeTokens(Message.Tokens tokens) {
        Frames.Tokens.Builder builder =
                Frames.Tokens.newBuilder().setCall(encodeCall(tokens)).setFirstIndex(tokens.firstIndex());
        for (byte[] payload : tokens.payloads()) {
            builder.addPayloads(UnsafeByteOperations.unsafeWrap(payload));
        }
        return builder.build();
    }

    private static void encodeCallMessage(Frames.Frame.Builder frame, Message.CallMessage message) {
        Frames.Call call = encodeCall(message);
        if (message instanceof Message.Accepted) {
            frame.setAccepted(Frames.Accepted.newBuilder().setCall(call));
        } else if (message instanceof Message.Cancel) {
            frame.setCancel(Frames.Cancel.newBuilder().setCall(call));
        } else if (message instanceof Message.Finished finished) {
            frame.setFinished(Frames.Finished.newBuilder().setCall(call).setTokens(finished.tokens()));
        } else if (message instanceof Message.Refused refused) {
            frame.setRefused(Frames.Refused.newBuilder()
                    .setCall(call)
                    .setKind(refused.kind().name())
                    .setMessage(refused.text())
                    .setRetryAfterMillis(toIntMillis(refused.retryAfter())));
        } else if (message instanceof Message.Failed failed) {
            frame.setFailed(Frames.Failed.newBuilder()
                    .setCall(call)
                    .setKind(failed.kind().name())
                    .setRan(failed.ran().name())
                    .setMessage(failed.text())
                    .setRetryAfterMillis(toIntMillis(failed.retryAfter())));
        } else if (message instanceof Message.Resume resume) {
            frame.setResume(Frames.Resume.newBuilder()
                    .setCall(call)
                    .setNextIndex(resume.nextIndex())
                    .setCredit(resume.credit()));
        } else if (message instanceof Message.PlainResponse response) {
            frame.setPlainResponse(Frames.PlainResponse.newBuilder()
                    .setCall(call)
                    .setStatus(response.status())
                    .addAllHeaders(DispatchCodec.encodeHeaders(response.headers()))
                    .setBody(UnsafeByteOperations.unsafeWrap(response.body())));
        }
    }

    /** Encodes a message that does not concern a call. */
    private static void encodeProcessMessage(Frames.Frame.Builder frame, Message message) {
        if (message instanceof Message.Hello hello) {
            PeerIdentity peer = hello.peer();
            frame.setHello(Frames.Hello.newBuilder()
                    .setProtocolVersion(hello.maxProtocolVersion())
                    .setLowestVersion(hello.minProtocolVersion())
                    .setInstance(peer.instance().value())
                    .setIncarnation(peer.incarnation())
                    .setRole(peer.role())
                    .setZone(peer.zone().value())
                    .setService(peer.service())
                    .setVersion(peer.version()));
        } else if (message instanceof Message.Ping ping) {
            frame.setPing(encodePing(ping));
        } else if (message instanceof Message.StateRequest request) {
            frame.setStateRequest(Frames.StateRequest.newBuilder().setNewerThan(request.newerThan()));
        } else if (message instanceof Message.StateReply reply) {
            frame.setStateReply(Frames.StateReply.newBuilder()
                    .setOffset(reply.position())
                    .setPart(reply.part())
                    .setParts(reply.parts())
                    .setData(UnsafeByteOperations.unsafeWrap(reply.data())));
        } else if (message instanceof Message.Evidence evidence) {
            frame.setEvidence(Frames.Evidence.newBuilder().setData(UnsafeByteOperations.unsafeWrap(evidence.data())));
        } else if (message instanceof Message.Verdict verdict) {
            frame.setVerdict(Frames.Verdict.newBuilder().setData(UnsafeByteOperations.unsafeWrap(verdict.data())));
        }
    }

    private static Frames.Ping encodePing(Message.Ping ping) {
        Frames.Ping.Builder builder = Frames.Ping.newBuilder()
                .setSequence(ping.sequence())
                .setConfigurationOffset(ping.configurationPosition())
                .setDraining(ping.draining());
        ping.load()
                .ifPresent(load -> builder.setLoad(Frames.Load.newBuilder()
                        .setRunning(load.running())
                        .setWaiting(load.waiting())
                        .setLimit(load.limit())
                        .setCold(load.cold())
                        .setReservedTokens(load.reservedTokens())
                        .setMemoryTokens(load.memoryTokens())));
        ping.stamp().ifPresent(stamp -> builder.setStamp(DispatchCodec.encodeStamp(stamp)));
        ping.upstream()
                .ifPresent(notice -> builder.setUpstream(Frames.UpstreamStatement.newBuilder()
                        .setProcess(notice.process())
                        .setLeaving(notice.leaving())
                        .setQuietMillis((int) notice.quietTime().toMillis())));
        return builder.build();
    }

    static Message decode(Frames.Frame frame) {
        return switch (frame.getBodyCase()) {
            case HELLO -> decodeHello(frame.getHello());
            case PING -> decodePing(frame.getPing());
            case DISPATCH -> DispatchCodec.decode(frame.getDispatch());
            case ACCEPTED -> new Message.Accepted(decodeCall(frame.getAccepted().getCall()));
            case REFUSED -> decodeRefused(frame.getRefused());
            case TOKENS -> decodeTokens(frame.getTokens());
            case FINISHED -> new Message.Finished(
                    decodeCall(frame.getFinished().getCall()),
                    frame.getFinished().getTokens());
            case FAILED -> decodeFailed(frame.getFailed());
            case CANCEL -> new Message.Cancel(decodeCall(frame.getCancel().getCall()));
            case CREDIT -> new Message.Credit(
                    decodeCall(frame.getCredit().getCall()), frame.getCredit().getTokens());
            case RESUME -> new Message.Resume(
                    decodeCall(frame.getResume().getCall()),
                    frame.getResume().getNextIndex(),
                    frame.getResume().getCredit());
            case PLAIN_RESPONSE -> decodePlainResponse(frame.getPlainResponse());
            case STATE_REQUEST -> new Message.StateRequest(
                    frame.getStateRequest().getNewerThan());
            case STATE_REPLY -> decodeStateReply(frame.getStateReply());
            case EVIDENCE -> new Message.Evidence(frame.getEvidence().getData().toByteArray());
            case VERDICT -> new Message.Verdict(frame.getVerdict().getData().toByteArray());
            default -> new Message.Unknown();
        };
    }

    private static Message decodeHello(Frames.Hello hello) {
        PeerIdentity peer = new PeerIdentity(
                InstanceId.of(hello.getInstance()),
                hello.getIncarnation(),
                hello.getRole(),
                AvailabilityZone.of(hello.getZone()),
                hello.getService(),
                hello.getVersion());
        return new Message.Hello(hello.getProtocolVersion(), hello.getLowestVersion(), peer);
    }

    private static Message decodePing(Frames.Ping ping) {
        Optional<Message.Load> load = Optional.empty();
        if (ping.hasLoad()) {
            Frames.Load loadFrame = ping.getLoad();
            load = Optional.of(new Message.Load(
                    loadFrame.getRunning(),
                    loadFrame.getWaiting(),
                    loadFrame.getLimit(),
                    loadFrame.getCold(),
                    loadFrame.getReservedTokens(),
                    loadFrame.getMemoryTokens()));
        }
        Optional<Message.Stamp> stamp =
                ping.hasStamp() ? Optional.of(DispatchCodec.decodeStamp(ping.getStamp())) : Optional.empty();
        return new Message.Ping(
                ping.getSequence(),
                ping.getConfigurationOffset(),
                load,
                stamp,
                ping.getDraining(),
                ping.hasUpstream() ? Optional.of(decodeNotice(ping.getUpstream())) : Optional.empty());
    }

    private static Message.UpstreamNotice decodeNotice(Frames.UpstreamStatement notice) {
        return new Message.UpstreamNotice(
                notice.getProcess(), notice.getLeaving(), Duration.ofMillis(Math.max(0, notice.getQuietMillis())));
    }

    private static Message decodeRefused(Frames.Refused refused) {
        return new Message.Refused(
                decodeCall(refused.getCall()),
                parseErrorKind(refused.getKind()),
                refused.getMessage(),
                Duration.ofMillis(refused.getRetryAfterMillis()));
    }

    private static Message decodeFailed(Frames.Failed failed) {
        return new Message.Failed(
                decodeCall(failed.getCall()),
                parseErrorKind(failed.getKind()),
                parseRan(failed.getRan()),
                failed.getMessage(),
                Duration.ofMillis(failed.getRetryAfterMillis()));
    }

    private static Message decodeTokens(Frames.Tokens tokens) {
        List<byte[]> payloads = new ArrayList<>(tokens.getPayloadsCount());
        for (ByteString payload : tokens.getPayloadsList()) {
            payloads.add(payload.toByteArray());
        }
        return new Message.Tokens(decodeCall(tokens.getCall()), tokens.getFirstIndex(), payloads);
    }

    private static Message decodePlainResponse(Frames.PlainResponse response) {
        return new Message.PlainResponse(
                decodeCall(response.getCall()),
                response.getStatus(),
                DispatchCodec.decodeHeaders(response.getHeadersList()),
                response.getBody().toByteArray());
    }

    private static Message decodeStateReply(Frames.StateReply reply) {
        return new Message.StateReply(
                reply.getOffset(),
                reply.getPart(),
                reply.getParts(),
                reply.getData().toByteArray());
    }

    static Frames.Call encodeCall(Message.CallMessage message) {
        Message.CallAttempt attempt = message.attempt();
        return Frames.Call.newBuilder()
                .setHigh(attempt.callId().high())
                .setLow(attempt.callId().low())
                .setAttempt(attempt.number())
                .build();
    }

    static Message.CallAttempt decodeCall(Frames.Call call) {
        return new Message.CallAttempt(new CallId(call.getHigh(), call.getLow()), call.getAttempt());
    }

    static int toIntMillis(Duration duration) {
        return (int) Math.min(Integer.MAX_VALUE, Math.max(0, duration.toMillis()));
    }

    private static ErrorKind parseErrorKind(String name) {
        for (ErrorKind kind : ErrorKind.values()) {
            if (kind.name().equals(name)) {
                return kind;
            }
        }
        return ErrorKind.INTERNAL;
    }

    private static Ran parseRan(String name) {
        for (Ran ran : Ran.values()) {
            if (ran.name().equals(name)) {
                return ran;
            }
        }
        return Ran.UNKNOWN;
    }
}
