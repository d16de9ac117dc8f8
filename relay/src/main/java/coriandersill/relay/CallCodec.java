package coriandersill.relay;

import io.vertx.core.MultiMap;
import io.vertx.core.http.HttpServerRequest;

/** Translates between the headers of a front end and the relay's own types; safe for use by many threads. */
public interface CallCodec {

    /**
     * Decodes a caller's request.
     *
     * @throws coriandersill.core.CallFailure of kind INVALID_REQUEST if it is malformed
     */
    CallRequest decode(HttpServerRequest request);

    /** Returns the headers of a request to an upstream. */
    MultiMap encode(UpstreamCall call);

    /** Decodes the head of an upstream's answer. */
    ResponseHead decode(int status, MultiMap headers);
}
