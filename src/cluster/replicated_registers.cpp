#include "cluster/replicated_registers.h"

#include <nlohmann/json.hpp>

namespace myrtlehead::cluster {

using custody::Answer;
using custody::Ballot;
using custody::Count;
using nlohmann::json;

namespace {

constexpr net::Nanoseconds kPauseFirst = 5'000'000,
                           kPauseMost = 640'000'000; // after a lost race, full jitter
constexpr std::size_t kMostKey = 200, kMostValue = 16 * 1024;

json toJson(const Ballot &b) { return json::array({b.round, b.life, b.member}); }

Ballot ballotOf(const json &in) {
  return {in.at(0).get<std::uint64_t>(), in.at(1).get<std::uint64_t>(), in.at(2).get<std::uint32_t>()};
}

std::string text(const Answer &a) {
  return json{
      {"granted", a.granted}, {"seen", toJson(a.seen)}, {"accepted", toJson(a.accepted)}, {"value", a.value}}
      .dump();
}

std::optional<Answer> answerOf(const std::string &text) {
  try {
    const auto in = json::parse(text);
    return Answer{in.at("granted").get<bool>(), ballotOf(in.at("seen")), ballotOf(in.at("accepted")),
                  in.at("value").get<std::string>()};
  } catch (const json::exception &) {
    return std::nullopt;
  }
}

HttpResponse kept(const std::string &fault, const Answer &answer) {
  HttpResponse out{200, ""};
  out.status = fault.empty() ? 200 : 503;
  out.body = fault.empty() ? text(answer) : "the disk takes nothing: " + fault;
  return out;
}

HttpResponse badly(const json::exception &e) {
  HttpResponse out{400, e.what()};
  return out;
}

struct Asked {
  std::string key, value;
  Ballot ballot;
};

// Throws json::exception where it is none: the caller answers 400.
Asked askedOf(const std::string &body) {
  const auto in = json::parse(body);
  Asked out{in.at("key").get<std::string>(), in.value("value", ""), ballotOf(in.at("ballot"))};
  if (out.key.empty() || out.key.size() > kMostKey || out.value.size() > kMostValue)
    throw json::other_error::create(501, "key or value too long", nullptr);
  return out;
}

} // namespace

// The answers of one phase, which come in while its proposer waits; late ones find it still there.
struct ReplicatedRegisters::Phase {
  explicit Phase(int members) : count(members), open(members) {}
  Count count;
  int open;
  sched::Event more;
};

ReplicatedRegisters::ReplicatedRegisters(net::Scheduler &sched, MemberClient &links, RegisterStore &ledger,
                                         std::uint32_t me, std::uint32_t members, std::uint64_t seed)
    : sched_(sched), memberClient_(links), registerStore_(ledger), me_(me), members_(members),
      answeredAt_(members) {
  chance_.seed(static_cast<std::knuth_b::result_type>(seed ^ seed >> 32));
}

net::Task<HttpResponse> ReplicatedRegisters::promise(std::string body) {
  Asked asked;
  try {
    asked = askedOf(body);
  } catch (const json::exception &e) {
    co_return badly(e);
  }
  const auto answer = custody::promise(registerStore_.held(asked.key), asked.ballot);
  if (!answer.granted) co_return kept("", answer);
  const auto fault = co_await registerStore_.keep(asked.key);
  co_return kept(fault, answer);
}

net::Task<HttpResponse> ReplicatedRegisters::accept(std::string body) {
  Asked asked;
  try {
    asked = askedOf(body);
  } catch (const json::exception &e) {
    co_return badly(e);
  }
  const auto answer = custody::accept(registerStore_.held(asked.key), asked.ballot, asked.value);
  if (!answer.granted) co_return kept("", answer);
  const auto fault = co_await registerStore_.keep(asked.key);
  co_return kept(fault, answer);
}

net::Task<> ReplicatedRegisters::askOne(std::uint32_t member, std::string what, std::string body,
                                        net::Deadline until, std::shared_ptr<Phase> phase) {
  std::optional<Answer> answer;
  if (member == me_) {
    HttpResponse own;
    if (what == "promise")
      own = co_await promise(std::move(body));
    else
      own = co_await accept(std::move(body));
    if (own.status == 200) answer = answerOf(own.body);
  } else {
    auto said = co_await memberClient_.ask(member, std::move(what), std::move(body), until);
    if (said && said->status == 200) answer = answerOf(said->body);
  }
  if (answer) {
    answeredAt_[member] = sched_.now();
    phase->count.heard(member, *answer);
  } else {
    phase->count.silent(member);
  }
  --phase->open;
  phase->more.notify();
}

net::Task<Count> ReplicatedRegisters::askAll(std::string what, std::string key, Ballot ballot,
                                             std::string value, net::Deadline until) {
  const auto body = json{{"key", key}, {"ballot", toJson(ballot)}, {"value", value}}.dump();
  const auto phase = std::make_shared<Phase>(static_cast<int>(members_));
  for (std::uint32_t m = 0; m < members_; ++m) sched_.spawn(askOne(m, what, body, until, phase));
  while (!phase->count.reached() && !phase->count.lost() && phase->open > 0) {
    const auto woken = co_await sched_.wait(phase->more, until);
    if (woken != sched::WakeReason::notified) break;
  }
  co_return phase->count;
}

net::Task<Changed> ReplicatedRegisters::change(std::string key, Step step, net::Deadline until) {
  Changed out;
  for (int lost = 0; sched_.now() < until.at; ++lost) {
    const Ballot ballot{++round_, registerStore_.life(), me_};
    const auto promised = co_await askAll("promise", key, ballot, "", until);
    round_ = std::max(round_, promised.round());
    if (promised.reached()) {
      auto next = step(promised.value());
      const bool wanted = next.has_value();
      // A read is a write of what stands: what a minority holds may be a change that is being made.
      const auto value = wanted ? *next : promised.value();
      out.value = value;
      if (!wanted) out.what = Changed::unwanted;
      if (!wanted && value.empty()) co_return out;
      const auto accepted = co_await askAll("accept", key, ballot, value, until);
      round_ = std::max(round_, accepted.round());
      if (accepted.reached()) {
        out.what = wanted ? Changed::made : Changed::unwanted;
        co_return out;
      }
      out.what = wanted ? Changed::unknown : Changed::noMajority;
    }
    const auto most = std::min(kPauseFirst << std::min(lost, 10), kPauseMost);
    const auto pause = static_cast<net::Nanoseconds>(draw() * static_cast<double>(most));
    const auto woken = co_await sched_.sleep(pause, until.cancellation);
    if (woken == sched::WakeReason::cancelled) break;
  }
  co_return out;
}

} // namespace myrtlehead::cluster
