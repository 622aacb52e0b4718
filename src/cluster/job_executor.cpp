#include "cluster/job_executor.h"

#include <algorithm>

namespace myrtlehead::cluster {

using custody::How;

namespace {

// The words that a job's reason has always had for an outcome.
const char *reasonFor(Outcome outcome) {
  constexpr const char *kReasons[] = {"completed",   "errored", "turned away", "timed out",
                                      "unreachable", "reset",   "cancelled",   "not sent"};
  return kReasons[static_cast<int>(outcome)];
}

Ran ran(How how, std::string reason) {
  Ran out{how, std::move(reason)};
  return out;
}
} // namespace

net::Task<Ran> RoutedJobExecutor::run(JobRecord record, sched::CancellationToken &stop) {
  const auto at = std::ranges::find(routes_.names, record.work.route);
  if (at == routes_.names.end())
    co_return ran(How::failed, "this deployment has no route " + record.work.route);
  const auto route = static_cast<std::size_t>(at - routes_.names.begin());
  const Nanoseconds patience = timeouts_[route], taken = sched_.now();
  const auto sql = statementOf(record, patience);
  const auto statement = pg::parseStatement(sql);
  if (statement.kind != pg::Statement::req) co_return ran(How::failed, statement.complaint);
  RequestContext call(static_cast<int>(route), statement.key, patience, record.job.starts > 1, taken);
  auto decision = co_await router_.nextAttempt(call, stop);
  bool mayHaveExecuted = false;
  auto last = Outcome::notSent;
  while (decision.action == AttemptDecision::forward) {
    const net::Deadline until{decision.deadline, &stop};
    auto tried = co_await pool_.attempt(*decision.endpoint, statement, until, decision.sendBy,
                                        [&] { return router_.isStillCurrent(call); });
    last = tried.outcome;
    mayHaveExecuted = mayHaveExecuted || !neverExecuted(last);
    if (!tried.loads.empty()) router_.onLoadReport(call, tried.loads);
    if (stop.isCancelled()) router_.onClientDisconnected(call);
    decision = router_.onAttemptFinished(call, last);
    if (last == Outcome::succeeded) co_return ran(How::done, "");
  }
  if (stop.isCancelled()) router_.onClientDisconnected(call);
  if (!mayHaveExecuted)
    co_return ran(How::neverExecuted, decision.action == AttemptDecision::shed ? "shed" : "no node for it");
  co_return ran(How::failed, std::string("its last try ") + reasonFor(last));
}

} // namespace myrtlehead::cluster
