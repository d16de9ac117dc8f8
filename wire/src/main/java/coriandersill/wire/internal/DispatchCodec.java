package coriandersill.wire.internal;

import com.google.protobuf.UnsafeByteOperations;
import coriandersill.wire.Message;
import coriandersill.wire.proto.Frames;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/** Maps dispatches, headers and stamps to their frames and back. */
final class DispatchCodec {
    private DispatchCodec() {}

    static Frames.Dispatch encode(Message.Dispatch dispatch) {
        Message.Target target = dispatch.target();
        Message.UpstreamRequest work = dispatch.request();
        Frames.Dispatch.Builder builder = Frames.Dispatch.newBuilder()
                .setCall(MessageCodec.call(dispatch))
                .setWorkspace(target.workspace())
                .setWeight(target.weight())
                .setService(target.service())
                .setVersion(target.version())
                .setRoute(target.route())
                .setPriority(target.priority())
                .setRemainingMillis(MessageCodec.toIntMillis(dispatch.remaining()))
                .setPromptTokens(dispatch.promptTokens())
                .setMaxTokens(dispatch.maxTokens())
                .setCredit(dispatch.credit())
                .setGeneration(work.generation())
                .setMethod(work.method())
                .setPath(work.path())
                .addAllHeaders(encodeHeaders(work.headers()))
                .setBody(UnsafeByteOperations.unsafeWrap(work.body()));
        dispatch.onceOnly()
                .ifPresent(onceOnly -> builder.setOnceOnly(Frames.OnceOnly.newBuilder()
                        .setKey(onceOnly.key())
                        .setFencingToken(onceOnly.fencingToken())
                        .setStamp(encodeStamp(onceOnly.stamp()))));
        return builder.build();
    }

    static Message.Dispatch decode(Frames.Dispatch frame) {
        Message.Target target = new Message.Target(
                frame.getWorkspace(),
                frame.getWeight(),
                frame.getService(),
                frame.getVersion(),
                frame.getRoute(),
                frame.getPriority());
        Message.UpstreamRequest work = new Message.UpstreamRequest(
                frame.getGeneration(),
                frame.getMethod(),
                frame.getPath(),
                decodeHeaders(frame.getHeadersList()),
                frame.getBody().toByteArray());
        Optional<Message.OnceOnly> onceOnly = Optional.empty();
        if (frame.hasOnceOnly()) {
            Frames.OnceOnly found = frame.getOnceOnly();
            onceOnly = Optional.of(
                    new Message.OnceOnly(found.getKey(), found.getFencingToken(), decodeStamp(found.getStamp())));
        }
        return new Message.Dispatch(
                MessageCodec.call(frame.getCall()),
                target,
                Duration.ofMillis(Math.max(0, frame.getRemainingMillis())),
                frame.getPromptTokens(),
                frame.getMaxTokens(),
                frame.getCredit(),
                work,
                onceOnly);
    }

    static List<Frames.Header> encodeHeaders(List<Message.Header> headers) {
        return headers.stream()
                .map(header -> Frames.Header.newBuilder()
                        .setName(header.name())
                        .setValue(header.value())
                        .build())
                .toList();
    }

    static List<Message.Header> decodeHeaders(List<Frames.Header> headers) {
        return headers.stream()
                .map(header -> new Message.Header(header.getName(), header.getValue()))
                .toList();
    }

    static Frames.Stamp encodeStamp(Message.Stamp stamp) {
        return Frames.Stamp.newBuilder()
                .setEpoch(stamp.epoch())
                .setSequence(stamp.sequence())
                .build();
    }

    static Message.Stamp decodeStamp(Frames.Stamp stamp) {
        return new Message.Stamp(stamp.getEpoch(), stamp.getSequence());
    }
}
