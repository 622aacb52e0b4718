// Errors as values: why an operation ended early, and for an attempt how far it had come.
#pragma once

#include <utility>
#include <variant>

namespace myrtlehead::net {

enum class Cause { none, timedOut, stopped, ended, broken, refused, tooBig, unreadable, noDescriptor };

// How far an attempt had come when it failed.
enum class Reach { unconnected, partlyWritten, writtenWhole, answering };

inline const char *word(Cause c) {
  constexpr const char *kWords[] = {"none",    "timed out", "stopped",    "ended by the other side", "broken",
                                    "refused", "too big",   "unreadable", "no descriptor left"};
  return kWords[static_cast<int>(c)];
}

struct Failure {
  Cause cause = Cause::none;
  Reach reach = Reach::unconnected;
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
