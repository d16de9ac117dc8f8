package coriandersill.wire.internal;

import com.google.protobuf.UnsafeByteOperations;
import coriandersill.wire.Message;
import coriandersill.wire.proto.Frames;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/** Converts dispatches, headers and stamps to their frames and back. */
final class DispatchCodec {
    private DispatchCodec() {}

    static Frames.Dispatch encode(Message.Dispatch dispatch) {
        Message.Target target = dispatch.target();
        Message.UpstreamRequest request = dispatch.request();
        Frames.Dispatch.Builder builder = Frames.Dispatch.newBuilder()
                .setCall(MessageCodec.encodeCall(dispatch))
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
                .setGeneration(request.generation())
                .setMethod(request.method())
                .setPath(request.path())
                .addAllHeaders(encodeHeaders(request.headers()))
                .setBody(UnsafeByteOperations.unsafeWrap(request.body()));
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
        Message.UpstreamRequest request = new Message.UpstreamRequest(
                frame.getGeneration(),
                frame.getMethod(),
                frame.getPath(),
                decodeHeaders(frame.getHeadersList()),
                frame.getBody().toByteArray());
        Optional<Message.OnceOnly> onceOnly = Optional.empty();
        if (frame.hasOnceOnly()) {
            Frames.OnceOnly onceOnlyFrame = frame.getOnceOnly();
            onceOnly = Optional.of(new Message.OnceOnly(
                    onceOnlyFrame.getKey(), onceOnlyFrame.getFencingToken(), decodeStamp(onceOnlyFrame.getStamp())));
        }
        return new Message.Dispatch(
                MessageCodec.decodeCall(frame.getCall()),
                target,
                Duration.ofMillis(Math.max(0, frame.getRemainingMillis())),
                frame.getPromptTokens(),
                frame.getMaxTokens(),
                frame.getCredit(),
                request,
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
                .setSequence(stamp.elapsedMillis())
                .build();
    }

    static Message.Stamp decodeStamp(Frames.Stamp stamp) {
        return new Message.Stamp(stamp.getEpoch(), stamp.getSequence());
    }
}
