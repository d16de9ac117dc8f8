package coriandersill.scheduling;

import java.util.List;

/**
 * Requests of workspaces that have used at most their share before the others. The share is that of weighted max-min
 * fairness with equal weights: what the waiting workspaces used lately, divided by their number. A workspace that does
 * not wait has all that it asks for and reduces nobody's share.
 */
record WithinShareFirst(DispatchOrder amongEquals) implements DispatchOrder {
    @Override
    public WaitingRequest first(List<WaitingRequest> waiting, OrderContext context) {
        List<String> workspaces =
                waiting.stream().map(WaitingRequest::workspace).distinct().toList();
        if (workspaces.size() == 1) {
            return amongEquals.first(waiting, context);
        }
        double share = workspaces.stream()
                .mapToDouble(workspace -> context.usage().of(workspace, context.nowNanos()))
                .average()
                .orElse(0);
        return amongEquals.first(
                waiting.stream()
                        .filter(request -> context.usage().of(request.workspace(), context.nowNanos()) <= share)
                        .toList(),
                context);
    }
}
