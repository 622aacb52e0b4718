#include "fleet/runner.h"

#include "guard/log.h"

#include <algorithm>

namespace myrtlehead::fleet {

using custody::How;

namespace {
Ran ran(How how, std::string reason) {
  Ran out{how, std::move(reason)};
  return out;
}
} // namespace

net::Task<Ran> NodeRunner::run(Record record, sched::Stop &stop) {
  const auto at = std::ranges::find(routes_.names, record.work.route);
  if (at == routes_.names.end())
    co_return ran(How::failed, "this deployment has no route " + record.work.route);
  const auto route = static_cast<std::size_t>(at - routes_.names.begin());
  const Ns patience = timeouts_[route], taken = sched_.now();
  const auto sql = statementOf(record, patience);
  const auto statement = pg::parseStatement(sql);
  if (statement.kind != pg::Statement::req) co_return ran(How::failed, statement.complaint);
  Call call(static_cast<int>(route), statement.key, patience, record.job.starts > 1, taken);
  auto choice = co_await marshal_.pick(call, stop);
  bool mayHaveRun = false;
  auto last = Outcome::notSent;
  while (choice.what == Choice::send) {
    const net::Until until{choice.until, &stop};
    auto tried = co_await pool_.attempt(*choice.target, statement, until, choice.sendBy,
                                        [&] { return marshal_.stillMeant(call); });
    last = tried.outcome;
    mayHaveRun = mayHaveRun || !neverRan(last);
    if (!tried.loads.empty()) marshal_.load(call, tried.loads);
    if (stop.requested()) marshal_.left(call);
    choice = marshal_.report(call, last);
    if (last == Outcome::completed) co_return ran(How::done, "");
  }
  if (stop.requested()) marshal_.left(call);
  if (!mayHaveRun) co_return ran(How::neverRan, choice.what == Choice::shed ? "shed" : "no node for it");
  co_return ran(How::failed, std::string("its last try ") + word(last));
}

} // namespace myrtlehead::fleet
