package coriandersill.scheduling;

/**
 * Sends requests of the most urgent rank to engines without room while few of them wait there: an engine admits them
 * before all others as soon as memory becomes free, which is sooner than an entry learns of it. Less urgent ones would
 * take that memory before urgent ones that still wait at entries, and would be lost if the engine leaves.
 *
 * <p>A request of any rank that has looked too often is sent if no other waits at an engine, since its predicted length
 * or the reports of the engines may be wrong.
 *
 * @param max the number of requests of the entry that may wait at engines
 */
public record MostUrgentBacklog(int max) implements BacklogRule {
    @Override
    public boolean permits(Situation situation) {
        boolean urgent = situation.request().urgency() <= situation.mostUrgentRank();
        return (urgent && situation.unbegun().size() < max)
                || (situation.lookedOften() && situation.unbegun().isEmpty());
    }
}
