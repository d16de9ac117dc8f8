package coriandersill.soak;

import coriandersill.platform.EndlessResponse;
import coriandersill.platform.FixedBehavior;
import coriandersill.platform.GenerationBehavior;
import coriandersill.platform.PlatformFixtures;
import coriandersill.platform.StandInUpstream;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetSocket;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * An upstream behind a proxy. Of {@value #CALLS_PER_FAULT} calls on average, a plain upstream refuses one, closes the
 * connection of one and sends an extra response to one, chosen by the hash of the call identifier.
 */
final class Upstream {
    /** The name of the plain service. */
    static final String PLAIN_SERVICE = "ledger";

    /** The name of the service of the engines. */
    static final String ENGINE_SERVICE = "scribe";

    private static final long PROCESSING_MILLIS = 15;

    /** Of this many calls, one is affected by each kind of fault. */
    private static final int CALLS_PER_FAULT = 25;

    private final String id;
    private final String service;
    private final boolean endless;
    private final StandInUpstream server;
    private final LoopbackProxy proxy;

    /** The way to an engine without the proxy. */
    private final Optional<DirectLink> directLink;

    private final Set<String> refused = ConcurrentHashMap.newKeySet();
    private final List<Statement> statements = new CopyOnWriteArrayList<>();
    private volatile long leavingAtNanos = Long.MAX_VALUE;
    private volatile long departureAcceptedAtNanos = Long.MAX_VALUE;
    private volatile boolean saysLeaving;
    private volatile boolean listingRemoved;
    private volatile boolean silent;
    private volatile long closedAtNanos = Long.MAX_VALUE;

    /** The quiet time that each call is refused with, in seconds; 0 if calls are served. */
    private volatile int quietSeconds;

    private Upstream(Vertx vertx, String id, String service, EngineShape shape, GenerationBehavior behavior)
            throws Exception {
        this.id = id;
        this.service = service;
        this.endless = false;
        this.server = service.equals(ENGINE_SERVICE)
                ? StandInUpstream.startEngine(
                        vertx, shape.slots(), shape.maxWaiting(), shape.eventIntervalMillis(), behavior)
                : StandInUpstream.start(
                        vertx,
                        (request, socket) -> vertx.setTimer(PROCESSING_MILLIS, timer -> respond(request, socket)));
        this.proxy = LoopbackProxy.to(vertx, server.port());
        this.directLink = service.equals(ENGINE_SERVICE) && !shape.proxied()
                ? Optional.of(DirectLink.to(server.port()))
                : Optional.empty();
    }

    /** Creates an upstream whose responses never end. */
    private Upstream(Vertx vertx, String id, String service) throws Exception {
        this.id = id;
        this.service = service;
        this.endless = true;
        AtomicInteger calls = new AtomicInteger();
        EndlessResponse[] responses = EndlessResponse.values();
        this.server = StandInUpstream.start(
                vertx,
                (request, socket) -> responses[calls.getAndIncrement() % responses.length].writeTo(socket, vertx));
        this.proxy = LoopbackProxy.to(vertx, server.port());
        this.directLink = Optional.empty();
    }

    /** Starts an upstream whose responses never end, each in another part than the one before. */
    static Upstream startEndless(Vertx vertx, String id, String service) throws Exception {
        return new Upstream(vertx, id, service);
    }

    static Upstream start(Vertx vertx, String id, String service) throws Exception {
        return start(vertx, id, service, EngineShape.WIDE, FixedBehavior.DEFAULT);
    }

    /** Starts an upstream; the shape and the behavior are those of an engine. */
    static Upstream start(Vertx vertx, String id, String service, EngineShape shape, GenerationBehavior behavior)
            throws Exception {
        return new Upstream(vertx, id, service, shape, behavior);
    }

    private void respond(StandInUpstream.ReceivedRequest request, NetSocket socket) {
        int quiet = quietSeconds;
        if (quiet > 0) {
            refused.add(request.attemptId());
            addStatement(request, saysLeaving, quiet);
            socket.write(PlatformFixtures.quietTimeResponse(quiet));
            return;
        }
        if (saysLeaving) {
            addStatement(request, true, 0);
            socket.write(PlatformFixtures.leavingResponse(request.attemptId(), responseBody(request.attemptId())));
            return;
        }
        switch (Math.floorMod(request.attemptId().hashCode(), CALLS_PER_FAULT)) {
            case 0 -> {
                refused.add(request.attemptId());
                socket.write(PlatformFixtures.notExecutedResponse());
            }
            case 1 -> socket.close();
            case 2 -> {
                StandInUpstream.sendOk(request, socket, responseBody(request.attemptId()));
                StandInUpstream.sendOk(request, socket, "of another call");
            }
            default -> StandInUpstream.sendOk(request, socket, responseBody(request.attemptId()));
        }
    }

    private void addStatement(StandInUpstream.ReceivedRequest request, boolean leaving, int quiet) {
        long now = System.nanoTime();
        statements.add(new Statement(request.attemptId(), now, leaving, now + TimeUnit.SECONDS.toNanos(quiet)));
    }

    /** Makes a plain upstream say in all its answers that it leaves; its listing stays as it is. */
    void sayLeaving() {
        saysLeaving = true;
    }

    /** Makes a plain upstream refuse all calls and ask for a quiet time, until called with 0. */
    void refuseAndAskForQuiet(int seconds) {
        quietSeconds = seconds;
    }

    /** What it said of itself, in order. */
    List<Statement> statements() {
        return statements;
    }

    /** The response body of a call. */
    static String responseBody(String callId) {
        return "done " + callId;
    }

    String id() {
        return id;
    }

    String service() {
        return service;
    }

    StandInUpstream server() {
        return server;
    }

    /** The port at which entries reach it. */
    int port() {
        return directLink.map(DirectLink::port).orElseGet(proxy::port);
    }

    LoopbackProxy proxy() {
        return proxy;
    }

    /** Whether its responses never end. */
    boolean isEndless() {
        return endless;
    }

    /** When it ended, and with it the calls on which it worked; {@link Long#MAX_VALUE} if it has not. */
    long closedAtNanos() {
        return closedAtNanos;
    }

    /** Whether a plain upstream closes the connection of a call without an answer. */
    boolean breaksOff(String callId) {
        return service.equals(PLAIN_SERVICE) && Math.floorMod(callId.hashCode(), CALLS_PER_FAULT) == 1;
    }

    /** Whether it did not work on a call that reached it. */
    boolean hasRefused(String callId) {
        return (!endless && service.equals(ENGINE_SERVICE))
                ? server.workedUntilNanos(callId) == Long.MIN_VALUE
                : refused.contains(callId);
    }

    /**
     * When it began to leave, that is, just before it was listed as leaving or crashed, by {@link System#nanoTime};
     * {@link Long#MAX_VALUE} if it is not leaving.
     */
    long leavingAtNanos() {
        return leavingAtNanos;
    }

    /** When the store had accepted that it leaves, by {@link System#nanoTime}; {@link Long#MAX_VALUE} if it has not. */
    long departureAcceptedAtNanos() {
        return departureAcceptedAtNanos;
    }

    /** Records that the store has just accepted that it leaves, unless it had before. */
    void departureAccepted() {
        if (departureAcceptedAtNanos == Long.MAX_VALUE) {
            departureAcceptedAt(System.nanoTime());
        }
    }

    void departureAcceptedAt(long atNanos) {
        departureAcceptedAtNanos = atNanos;
    }

    /** Records that the store has the listing again: it did not leave. */
    void departureRevoked() {
        departureAcceptedAtNanos = Long.MAX_VALUE;
    }

    /** Ends its reports to the store without a word; it serves on. */
    void endReports() {
        silent = true;
    }

    boolean hasEndedReports() {
        return silent;
    }

    boolean isListingRemoved() {
        return listingRemoved;
    }

    void listingRemoved() {
        listingRemoved = true;
    }

    boolean isLeaving() {
        return saysLeaving || silent || leavingAtNanos != Long.MAX_VALUE;
    }

    boolean isListedAsLeaving() {
        return leavingAtNanos != Long.MAX_VALUE;
    }

    void markLeaving() {
        leavingAtNanos = System.nanoTime();
    }

    void close() {
        closedAtNanos = System.nanoTime();
        directLink.ifPresent(DirectLink::close);
        proxy.close();
        try {
            server.close();
        } catch (Exception e) {
            throw new IllegalStateException("failed to close upstream " + id, e);
        }
    }
}
