#include "cluster/job_executor.h"

#include <algorithm>

namespace myrtlehead::cluster {

using job_lease::ExecutionOutcome;
using job_lease::ExecutionResult;

namespace {

// The text for an outcome in a job's reason. All reasons in this file are stored in job records and reported
// to clients.
const char *reasonFor(Outcome outcome) {
  constexpr const char *kReasons[] = {"completed",   "errored", "turned away", "timed out",
                                      "unreachable", "reset",   "cancelled",   "not sent"};
  return kReasons[static_cast<int>(outcome)];
}

ExecutionResult makeResult(ExecutionOutcome outcome, std::string reason) {
  ExecutionResult result{outcome, std::move(reason)};
  return result;
}

} // namespace

net::Task<ExecutionResult> RoutedJobExecutor::execute(JobRecord record,
                                                      sched::CancellationToken &cancellation) {
  const auto &routeName = record.statement.route;
  const auto found = std::ranges::find(routes_.names, routeName);
  if (found == routes_.names.end())
    co_return makeResult(ExecutionOutcome::failed, "this deployment has no route " + routeName);
  const auto route = static_cast<std::size_t>(found - routes_.names.begin());
  const Nanoseconds timeout = routeTimeouts_[route];
  const Nanoseconds receivedAt = sched_.now();
  const auto sql = toSql(record, timeout);
  const auto statement = pg::parseStatement(sql);
  if (statement.kind != pg::Statement::request)
    co_return makeResult(ExecutionOutcome::failed, statement.errorMessage);
  const bool isRetry = record.job.starts > 1;
  RequestContext request(static_cast<int>(route), statement.rowKeyNumber, timeout, isRetry, receivedAt);
  co_return co_await runAttempts(statement, request, cancellation);
}

net::Task<ExecutionResult> RoutedJobExecutor::runAttempts(const pg::Statement &statement,
                                                          RequestContext &request,
                                                          sched::CancellationToken &cancellation) {
  auto decision = co_await router_.nextAttempt(request, cancellation);
  bool mayHaveExecuted = false;
  auto lastOutcome = Outcome::notSent;
  while (decision.action == AttemptDecision::forward) {
    const net::Deadline until{decision.deadline, &cancellation};
    auto attempt = co_await pool_.attempt(*decision.endpoint, statement, until, decision.sendBy,
                                          [&] { return router_.isStillCurrent(request); });
    lastOutcome = attempt.outcome;
    mayHaveExecuted = mayHaveExecuted || !provesNotExecuted(lastOutcome);
    if (!attempt.loadValues.empty()) router_.onLoadReport(request, attempt.loadValues);
    if (cancellation.isCancelled()) router_.onClientDisconnected(request);
    decision = router_.onAttemptFinished(request, lastOutcome);
    if (lastOutcome == Outcome::succeeded) co_return makeResult(ExecutionOutcome::succeeded, "");
  }
  if (cancellation.isCancelled()) router_.onClientDisconnected(request);
  if (mayHaveExecuted)
    co_return makeResult(ExecutionOutcome::failed, std::string("its last try ") + reasonFor(lastOutcome));
  const bool isShed = decision.action == AttemptDecision::shed;
  co_return makeResult(ExecutionOutcome::neverExecuted, isShed ? "shed" : "no node for it");
}

} // namespace myrtlehead::cluster
