#include "router/list_history.h"

namespace myrtlehead {

const char *nameOf(ListEvent event) {
  switch (event) {
  case ListEvent::none:
    return "none";
  case ListEvent::message:
    return "message";
  case ListEvent::previousMessage:
    return "message of a previous address";
  case ListEvent::callSent:
    return "poll sent";
  case ListEvent::callRejected:
    return "call rejected";
  case ListEvent::callUnreachable:
    return "discovery unreachable";
  case ListEvent::callRefused:
    return "connection refused";
  case ListEvent::watchClosed:
    return "watch closed";
  case ListEvent::watchSilent:
    return "watch silent";
  case ListEvent::addressChanged:
    return "address changed";
  case ListEvent::proofRequired:
    return "proof required";
  case ListEvent::forwardingStopped:
    return "forwarding stopped";
  case ListEvent::listRelied:
    return "list relied on";
  }
  return "";
}

void ListHistory::add(ListEvent event, Nanoseconds at) {
  const bool isRepeated = newest(0).event == event && newest(1).event == event;
  if (isRepeated) next_ = (next_ + kCapacity - 1) % kCapacity;
  entries_[next_] = {at, event};
  next_ = (next_ + 1) % kCapacity;
}

std::string ListHistory::describe(Nanoseconds now) const {
  std::string out;
  for (std::size_t i = 0; i < kCapacity; ++i) {
    const auto &entry = entries_[(next_ + i) % kCapacity];
    if (entry.event == ListEvent::none) continue;
    if (!out.empty()) out += ", ";
    out += nameOf(entry.event);
    out += ' ';
    out += std::to_string((entry.at - now) / kMillisecond);
  }
  return out;
}

} // namespace myrtlehead
