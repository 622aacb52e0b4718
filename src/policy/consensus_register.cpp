#include "policy/consensus_register.h"

#include <algorithm>

namespace myrtlehead::custody {

Answer promise(Held &held, Ballot ballot) {
  if (ballot < held.promised) return {false, held.promised, {}, ""};
  held.promised = ballot;
  return {true, ballot, held.accepted, held.value};
}

// A ballot that no promise was asked for is as good where none higher was given: the proposer's majority was
// another.
Answer accept(Held &held, Ballot ballot, const std::string &value) {
  if (ballot < held.promised) return {false, held.promised, {}, ""};
  held = {ballot, ballot, value};
  return {true, ballot, ballot, ""};
}

void Count::heard(std::uint32_t member, const Answer &answer) {
  seen_ = std::max(seen_, answer.seen);
  if (!answer.granted) {
    if (!yes_.contains(member)) no_.insert(member);
    return;
  }
  if (no_.contains(member)) return;
  yes_.insert(member);
  if (answer.accepted > accepted_) accepted_ = answer.accepted, value_ = answer.value;
}

void Count::silent(std::uint32_t member) {
  if (!yes_.contains(member)) no_.insert(member);
}

} // namespace myrtlehead::custody
