package coriandersill.explorer;

import coriandersill.sharedlog.PlatformLog;
import coriandersill.sharedlog.Scheduler;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/** A process of a {@link Simulation}: paused, its tasks wait; dead, they are dropped. */
public final class SimulatedProcess {
    private final Simulation simulation;
    private final String name;
    private final Deque<Runnable> backlog = new ArrayDeque<>();
    private boolean dead;
    private int pauses;

    SimulatedProcess(Simulation simulation, String name) {
        this.simulation = simulation;
        this.name = name;
    }

    /** Its name. */
    public String name() {
        return name;
    }

    /** Whether it has died. */
    public boolean dead() {
        return dead;
    }

    /** Runs a task now, when the process wakes, or never. */
    public void run(Runnable task) {
        if (dead) {
            return;
        }
        if (pauses > 0) {
            backlog.add(task);
        } else {
            task.run();
        }
    }

    /** Pauses the process; time goes on meanwhile. */
    public void pause(Duration time) {
        pauses++;
        simulation.after(time, this::resume);
    }

    /** Ends the process for good; a restart is a new process. */
    public void die() {
        dead = true;
        backlog.clear();
    }

    /** Runs delayed tasks in this process. */
    public Scheduler scheduler() {
        return (delay, task) -> simulation.scheduler().schedule(delay, () -> run(task));
    }

    /** The log, whose answers are taken in this process. */
    public PlatformLog log() {
        return simulation.log().seenBy(this);
    }

    private void resume() {
        pauses--;
        while (pauses == 0 && !dead && !backlog.isEmpty()) {
            backlog.poll().run();
        }
    }
}
