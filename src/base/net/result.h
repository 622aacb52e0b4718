// Error values: the cause of a failure and, for an attempt, how much of the exchange had taken place.
#pragma once

#include <utility>
#include <variant>

namespace myrtlehead::net {

enum class ErrorCode {
  none,
  timedOut,
  cancelled,
  closedByPeer,   // the peer ended the stream in order
  connectionLost, // the connection failed or ended too early
  refused,
  tooLarge,
  unreadable, // the received bytes violate the protocol
  noDescriptorLeft
};

// How much of the exchange had taken place when an attempt ended.
enum class SendProgress { notConnected, partlyWritten, fullyWritten, responseStarted };

// The name of an error code as log lines show it.
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

// Holds either a value or a failure. The conversion to bool tells whether it holds a value. The value may be
// accessed only if it does, failure() only if it does not.
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
