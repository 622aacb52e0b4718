#include "cluster/replicated_registers.h"

#include "cluster/consensus_messages.h"

namespace myrtlehead::cluster {

using consensus::AcceptorReply;
using consensus::QuorumTally;

namespace {

// The longest delay after the first undecided proposal of a change, 5 ms; it doubles with each further one up
// to kMaxBackoff.
constexpr net::Nanoseconds kBaseBackoff = 5'000'000;
constexpr net::Nanoseconds kMaxBackoff = 640'000'000; // 640 ms
constexpr int kMaxBackoffDoublings = 10;

HttpResponse badRequest(const MalformedMessage &error) { return {400, error.message}; }

} // namespace

// The state of one phase of a proposal. The proposer and its calls share it, because late replies may arrive
// after the proposer has continued.
struct ReplicatedRegisters::PhaseState {
  explicit PhaseState(int members) : tally(members), callsInFlight(members) {}
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

// Returns a rejection at once, because it changes no state. A granted reply is returned only after the
// register's state has been persisted.
net::Task<HttpResponse> ReplicatedRegisters::replyOncePersisted(const std::string &key,
                                                                const AcceptorReply &reply) {
  HttpResponse response{200, toJson(reply)};
  if (!reply.granted) co_return response;
  const auto error = co_await store_.persist(key);
  if (error) {
    response.status = 503;
    response.body = "the register could not be persisted: " + error->message;
  }
  co_return response;
}

net::Task<std::optional<AcceptorReply>> ReplicatedRegisters::requestReply(std::uint32_t member,
                                                                          ConsensusPhase phase,
                                                                          std::string body,
                                                                          net::Deadline until) {
  HttpResponse response;
  if (member != ownIndex_) {
    auto result = co_await memberClient_.call(member, phase, std::move(body), until);
    if (!result) co_return std::nullopt;
    response = std::move(*result);
  } else if (phase == ConsensusPhase::prepare) {
    response = co_await onPrepare(std::move(body));
  } else {
    response = co_await onAccept(std::move(body));
  }
  if (response.status != 200) co_return std::nullopt;
  co_return parseAcceptorReply(response.body);
}

net::Task<> ReplicatedRegisters::callMember(std::uint32_t member, ConsensusPhase phase, std::string body,
                                            net::Deadline until, std::shared_ptr<PhaseState> state) {
  const auto reply = co_await requestReply(member, phase, std::move(body), until);
  if (reply) {
    lastAnsweredAt_[member] = sched_.now();
    state->tally.addReply(member, *reply);
  } else {
    state->tally.addNoReply(member);
  }
  --state->callsInFlight;
  state->changed.notify();
}

// Calls all members, this one included. Returns once a quorum has granted, a quorum has become impossible,
// all calls have ended, or the deadline has passed or been cancelled.
net::Task<QuorumTally> ReplicatedRegisters::callAllMembers(ConsensusPhase phase,
                                                           const ConsensusRequest &request,
                                                           net::Deadline until) {
  const auto body = toJson(request);
  const auto state = std::make_shared<PhaseState>(static_cast<int>(memberCount_));
  for (std::uint32_t member = 0; member < memberCount_; ++member)
    sched_.spawn(callMember(member, phase, body, until, state));
  while (!state->tally.isReached() && !state->tally.isUnreachable() && state->callsInFlight > 0) {
    const auto wakeReason = co_await sched_.wait(state->changed, until);
    if (wakeReason != sched::WakeReason::notified) break;
  }
  co_return state->tally;
}

// Makes one proposal. `result` keeps the result of earlier proposals of the same change unless this proposal
// learns more.
net::Task<ReplicatedRegisters::ProposalOutcome> ReplicatedRegisters::propose(const std::string &key,
                                                                             const Transition &transition,
                                                                             net::Deadline until,
                                                                             ChangeResult &result) {
  ConsensusRequest request{key, {++round_, store_.incarnation(), ownIndex_}, ""};
  const auto promises = co_await callAllMembers(ConsensusPhase::prepare, request, until);
  round_ = std::max(round_, promises.highestRound());
  if (!promises.isReached()) co_return ProposalOutcome::undecided;

  const auto next = transition(promises.value());
  result.value = next ? *next : promises.value();
  if (!next && result.value.empty()) {
    result.outcome = ChangeOutcome::unchanged;
    co_return ProposalOutcome::decided;
  }
  // A read also writes the current value: if only a minority has accepted that value, the change to it may
  // still be in progress, and the accept phase completes it.
  request.value = result.value;
  const auto accepts = co_await callAllMembers(ConsensusPhase::accept, request, until);
  round_ = std::max(round_, accepts.highestRound());
  if (accepts.isReached()) {
    result.outcome = next ? ChangeOutcome::applied : ChangeOutcome::unchanged;
    co_return ProposalOutcome::decided;
  }
  result.outcome = next ? ChangeOutcome::unknown : ChangeOutcome::noQuorum;
  co_return ProposalOutcome::undecided;
}

// Returns an exponential backoff with full jitter, so that competing proposers don't collide again.
net::Nanoseconds ReplicatedRegisters::backoffAfter(int undecidedProposals) {
  const auto maxDelay = std::min(kBaseBackoff << std::min(undecidedProposals, kMaxBackoffDoublings),
                                 kMaxBackoff);
  const double jitter = std::uniform_real_distribution<double>(0, 1)(random_);
  return static_cast<net::Nanoseconds>(jitter * static_cast<double>(maxDelay));
}

net::Task<ChangeResult> ReplicatedRegisters::change(std::string key, Transition transition,
                                                    net::Deadline until) {
  ChangeResult result;
  for (int undecidedProposals = 0; sched_.now() < until.at; ++undecidedProposals) {
    const auto proposalOutcome = co_await propose(key, transition, until, result);
    if (proposalOutcome == ProposalOutcome::decided) break;
    const auto backoff = backoffAfter(undecidedProposals);
    const auto wakeReason = co_await sched_.sleep(backoff, until.cancellation);
    if (wakeReason == sched::WakeReason::cancelled) break;
  }
  co_return result;
}

net::Task<ChangeResult> ReplicatedRegisters::read(std::string key, net::Deadline until) {
  const Transition noChange = [](const std::string &) -> std::optional<std::string> { return std::nullopt; };
  return change(std::move(key), noChange, until);
}

} // namespace myrtlehead::cluster
