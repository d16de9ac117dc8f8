package coriandersill.relay;

import io.vertx.core.MultiMap;
import io.vertx.core.http.HttpServerRequest;

/** Translates between a front end's HTTP headers and the relay's types. Implementations are thread-safe. */
public interface CallCodec {

    /**
     * Decodes a caller's request.
     *
     * @throws coriandersill.core.CallFailure of kind INVALID_REQUEST if the request is malformed
     */
    CallRequest decode(HttpServerRequest request);

    /** Returns the headers of a request to an upstream. */
    MultiMap encode(UpstreamCall call);

    /** Decodes the status and headers of an upstream's response. */
    ResponseHead decode(int status, MultiMap headers);
}
