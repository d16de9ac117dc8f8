package coriandersill.soak;

import coriandersill.platform.PlatformFixtures;
import coriandersill.platform.StandInUpstream;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetSocket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** An upstream behind a proxy; plain ones refuse, fail and spoil some calls, by the call's identifier. */
final class Upstream {
    static final String PLAIN = "ledger";
    static final String ENGINE = "scribe";

    private static final long WORK_MILLIS = 15;

    /** One call in so many meets each kind of trouble. */
    private static final int TROUBLE_EACH = 25;

    private final String id;
    private final String service;
    private final StandInUpstream worker;
    private final LoopbackProxy proxy;
    private final Set<String> refused = ConcurrentHashMap.newKeySet();
    private volatile long leavingAt = Long.MAX_VALUE;

    private Upstream(Vertx vertx, String id, String service) throws Exception {
        this.id = id;
        this.service = service;
        this.worker = service.equals(ENGINE)
                ? StandInUpstream.startEngine(vertx)
                : StandInUpstream.start(
                        vertx, (request, socket) -> vertx.setTimer(WORK_MILLIS, timer -> answer(request, socket)));
        this.proxy = LoopbackProxy.to(vertx, worker.port());
    }

    static Upstream start(Vertx vertx, String id, String service) throws Exception {
        return new Upstream(vertx, id, service);
    }

    private void answer(StandInUpstream.ReceivedRequest request, NetSocket socket) {
        switch (Math.floorMod(request.attemptId().hashCode(), TROUBLE_EACH)) {
            case 0 -> {
                refused.add(request.attemptId());
                socket.write(PlatformFixtures.notExecutedResponse());
            }
            case 1 -> socket.close();
            case 2 -> {
                StandInUpstream.sendOk(request, socket, text(request.attemptId()));
                StandInUpstream.sendOk(request, socket, "of another call");
            }
            default -> StandInUpstream.sendOk(request, socket, text(request.attemptId()));
        }
    }

    /** The body of the answer to a call. */
    static String text(String call) {
        return "done " + call;
    }

    String id() {
        return id;
    }

    String service() {
        return service;
    }

    StandInUpstream worker() {
        return worker;
    }

    LoopbackProxy proxy() {
        return proxy;
    }

    boolean refused(String call) {
        return refused.contains(call);
    }

    /** When it was listed as leaving, in nanoseconds. */
    long leavingAt() {
        return leavingAt;
    }

    boolean leaving() {
        return leavingAt != Long.MAX_VALUE;
    }

    void leaves() {
        leavingAt = System.nanoTime();
    }

    void end() {
        proxy.close();
        try {
            worker.close();
        } catch (Exception notClosed) {
            throw new IllegalStateException(id + " does not end", notClosed);
        }
    }
}
