// Errors as values: why an operation ended early, and for an attempt how far it had come.
#pragma once

#include <utility>
#include <variant>

namespace myrtlehead::net {

enum class ErrorCode {
  none,
  timedOut,
  cancelled,
  closedByPeer,
  connectionLost,
  refused,
  tooLarge,
  unreadable,
  noDescriptorLeft
};

// How far an attempt had come when it failed.
enum class SendProgress { notConnected, partlyWritten, fullyWritten, responseStarted };

inline const char *word(ErrorCode c) {
  constexpr const char *kWords[] = {"none",    "timed out", "stopped",    "ended by the other side", "broken",
                                    "refused", "too big",   "unreadable", "no descriptor left"};
  return kWords[static_cast<int>(c)];
}

struct Failure {
  ErrorCode cause = ErrorCode::none;
  SendProgress progress = SendProgress::notConnected;
};

template <class T> class [[nodiscard]] Result {
public:
  Result(T value) : held_(std::move(value)) {}
  Result(Failure failure) : held_(failure) {}
  explicit operator bool() const { return held_.index() == 0; }
  T &operator*() { return std::get<0>(held_); }
  T *operator->() { return &std::get<0>(held_); }
  const Failure &failure() const { return std::get<1>(held_); }

private:
  std::variant<T, Failure> held_;
};

} // namespace myrtlehead::net
