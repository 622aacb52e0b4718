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

// The words of the log.
inline const char *errorName(ErrorCode code) {
  switch (code) {
  case ErrorCode::none:
    return "none";
  case ErrorCode::timedOut:
    return "timed out";
  case ErrorCode::cancelled:
    return "cancelled";
  case ErrorCode::closedByPeer:
    return "closed by peer";
  case ErrorCode::connectionLost:
    return "connection lost";
  case ErrorCode::refused:
    return "refused";
  case ErrorCode::tooLarge:
    return "too large";
  case ErrorCode::unreadable:
    return "unreadable";
  case ErrorCode::noDescriptorLeft:
    return "no descriptor left";
  }
  return "";
}

struct Failure {
  ErrorCode cause = ErrorCode::none;
  SendProgress progress = SendProgress::notConnected;
};

// A value, or why there is none. failure() may be asked only where it is false, the value only where it is
// true.
template <class T> class [[nodiscard]] Result {
public:
  Result(T value) : content_(std::move(value)) {}
  Result(Failure failure) : content_(failure) {}
  explicit operator bool() const { return content_.index() == 0; }
  T &operator*() { return std::get<0>(content_); }
  T *operator->() { return &std::get<0>(content_); }
  const Failure &failure() const { return std::get<1>(content_); }

private:
  std::variant<T, Failure> content_;
};

} // namespace myrtlehead::net
