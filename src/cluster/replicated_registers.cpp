#include "cluster/replicated_registers.h"

#include "cluster/consensus_messages.h"

namespace myrtlehead::cluster {

using consensus::AcceptorReply;
using consensus::QuorumTally;

namespace {

constexpr net::Nanoseconds kBaseBackoff = 5'000'000; // between proposals of one change; doubles with each
constexpr net::Nanoseconds kMaxBackoff = 640'000'000;
constexpr int kMaxBackoffDoublings = 10;

HttpResponse badRequest(const MalformedMessage &error) { return {400, error.message}; }

} // namespace

// One phase of a proposal. Shared by the proposer and its calls, as late replies come in after the proposer
// has gone on.
struct ReplicatedRegisters::Phase {
  explicit Phase(int members) : tally(members), callsInFlight(members) {}
  QuorumTally tally;
  int callsInFlight;
  sched::Event changed;
};

ReplicatedRegisters::ReplicatedRegisters(net::Scheduler &sched, MemberClient &memberClient,
                                         RegisterStore &store, std::uint32_t ownIndex,
                                         std::uint32_t memberCount, std::uint64_t seed)
    : sched_(sched), memberClient_(memberClient), store_(store), ownIndex_(ownIndex),
      memberCount_(memberCount), lastAnsweredAt_(memberCount) {
  random_.seed(static_cast<std::knuth_b::result_type>(seed ^ seed >> 32));
}

net::Task<HttpResponse> ReplicatedRegisters::onPrepare(std::string body) {
  const auto request = parseConsensusRequest(body);
  const auto *error = std::get_if<MalformedMessage>(&request);
  if (error != nullptr) co_return badRequest(*error);
  const auto &proposal = std::get<ConsensusRequest>(request);
  const auto reply = consensus::prepare(store_.stateOf(proposal.key), proposal.ballot);
  co_return co_await replyOncePersisted(proposal.key, reply);
}

net::Task<HttpResponse> ReplicatedRegisters::onAccept(std::string body) {
  const auto request = parseConsensusRequest(body);
  const auto *error = std::get_if<MalformedMessage>(&request);
  if (error != nullptr) co_return badRequest(*error);
  const auto &proposal = std::get<ConsensusRequest>(request);
  const auto reply = consensus::accept(store_.stateOf(proposal.key), proposal.ballot, proposal.value);
  co_return co_await replyOncePersisted(proposal.key, reply);
}

// A rejection has changed nothing and leaves at once; anything else waits for the disk.
net::Task<HttpResponse> ReplicatedRegisters::replyOncePersisted(const std::string &key,
                                                                const AcceptorReply &reply) {
  HttpResponse response{200, toJson(reply)};
  if (!reply.granted) co_return response;
  const auto error = co_await store_.persist(key);
  if (error) {
    response.status = 503;
    response.body = "the disk takes nothing: " + error->message;
  }
  co_return response;
}

net::Task<std::optional<AcceptorReply>> ReplicatedRegisters::replyOf(std::uint32_t member,
                                                                     ConsensusPhase call, std::string body,
                                                                     net::Deadline until) {
  HttpResponse response;
  if (member != ownIndex_) {
    auto result = co_await memberClient_.call(member, call, std::move(body), until);
    if (!result) co_return std::nullopt;
    response = std::move(*result);
  } else if (call == ConsensusPhase::prepare) {
    response = co_await onPrepare(std::move(body));
  } else {
    response = co_await onAccept(std::move(body));
  }
  if (response.status != 200) co_return std::nullopt;
  co_return parseReply(response.body);
}

net::Task<> ReplicatedRegisters::callMember(std::uint32_t member, ConsensusPhase call, std::string body,
                                            net::Deadline until, std::shared_ptr<Phase> phase) {
  const auto reply = co_await replyOf(member, call, std::move(body), until);
  if (reply) {
    lastAnsweredAt_[member] = sched_.now();
    phase->tally.addReply(member, *reply);
  } else {
    phase->tally.addNoReply(member);
  }
  --phase->callsInFlight;
  phase->changed.notify();
}

// Returns once a quorum has granted, none can any more, or the deadline has passed.
net::Task<QuorumTally> ReplicatedRegisters::callAll(ConsensusPhase call, const ConsensusRequest &request,
                                                    net::Deadline until) {
  const auto body = toJson(request);
  const auto phase = std::make_shared<Phase>(static_cast<int>(memberCount_));
  for (std::uint32_t member = 0; member < memberCount_; ++member)
    sched_.spawn(callMember(member, call, body, until, phase));
  while (!phase->tally.isReached() && !phase->tally.isUnreachable() && phase->callsInFlight > 0) {
    const auto woken = co_await sched_.wait(phase->changed, until);
    if (woken != sched::WakeReason::notified) break;
  }
  co_return phase->tally;
}

// One proposal. `result` keeps what an earlier proposal of the same change came to, unless this one learns
// more.
net::Task<ReplicatedRegisters::ProposalEnd> ReplicatedRegisters::propose(const std::string &key,
                                                                         const Transition &transition,
                                                                         net::Deadline until,
                                                                         ChangeResult &result) {
  ConsensusRequest request{key, {++round_, store_.incarnation(), ownIndex_}, ""};
  const auto promises = co_await callAll(ConsensusPhase::prepare, request, until);
  round_ = std::max(round_, promises.highestRound());
  if (!promises.isReached()) co_return ProposalEnd::undecided;

  const auto next = transition(promises.value());
  result.value = next ? *next : promises.value();
  if (!next && result.value.empty()) {
    result.outcome = ChangeOutcome::unchanged;
    co_return ProposalEnd::decided;
  }
  // A read is a write of the current value: what a minority holds may be a change that is being made.
  request.value = result.value;
  const auto accepts = co_await callAll(ConsensusPhase::accept, request, until);
  round_ = std::max(round_, accepts.highestRound());
  if (accepts.isReached()) {
    result.outcome = next ? ChangeOutcome::applied : ChangeOutcome::unchanged;
    co_return ProposalEnd::decided;
  }
  result.outcome = next ? ChangeOutcome::unknown : ChangeOutcome::noQuorum;
  co_return ProposalEnd::undecided;
}

// Full jitter, so that proposers that raced don't race again.
net::Nanoseconds ReplicatedRegisters::backoffAfter(int undecided) {
  const auto longest = std::min(kBaseBackoff << std::min(undecided, kMaxBackoffDoublings), kMaxBackoff);
  const double jitter = std::uniform_real_distribution<double>(0, 1)(random_);
  return static_cast<net::Nanoseconds>(jitter * static_cast<double>(longest));
}

net::Task<ChangeResult> ReplicatedRegisters::change(std::string key, Transition transition,
                                                    net::Deadline until) {
  ChangeResult result;
  for (int undecided = 0; sched_.now() < until.at; ++undecided) {
    const auto end = co_await propose(key, transition, until, result);
    if (end == ProposalEnd::decided) break;
    const auto backoff = backoffAfter(undecided);
    const auto woken = co_await sched_.sleep(backoff, until.cancellation);
    if (woken == sched::WakeReason::cancelled) break;
  }
  co_return result;
}

net::Task<ChangeResult> ReplicatedRegisters::read(std::string key, net::Deadline until) {
  const Transition none = [](const std::string &) -> std::optional<std::string> { return std::nullopt; };
  return change(std::move(key), none, until);
}

} // namespace myrtlehead::cluster
