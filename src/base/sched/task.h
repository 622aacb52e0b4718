// A coroutine that starts when it is awaited and returns one value, or an exception, to the coroutine that
// awaits it. The Task owns its frame: destroying the Task destroys the coroutine wherever it is suspended.
#pragma once

#include <coroutine>
#include <exception>
#include <optional>
#include <utility>

namespace myrtlehead::sched {

template <class T> class Task;

namespace detail {

struct PromiseBase {
  std::coroutine_handle<> continuation = std::noop_coroutine(); // of the coroutine that awaits this one
  std::exception_ptr exception;

  std::suspend_always initial_suspend() noexcept { return {}; }
  struct FinalAwaiter {
    bool await_ready() noexcept { return false; }
    template <class P> std::coroutine_handle<> await_suspend(std::coroutine_handle<P> finished) noexcept {
      return finished.promise().continuation;
    }
    void await_resume() noexcept {}
  };
  FinalAwaiter final_suspend() noexcept { return {}; }
  void unhandled_exception() { exception = std::current_exception(); }
};

template <class T> struct Promise : PromiseBase {
  std::optional<T> value;
  Task<T> get_return_object();
  template <class U> void return_value(U &&result) { value.emplace(std::forward<U>(result)); }
  T takeValue() { return std::move(*value); }
};

template <> struct Promise<void> : PromiseBase {
  Task<void> get_return_object();
  void return_void() {}
  void takeValue() {}
};

} // namespace detail

// Is awaited, or started, once at most.
template <class T = void> class [[nodiscard]] Task {
public:
  using promise_type = detail::Promise<T>;
  using Handle = std::coroutine_handle<promise_type>;

  explicit Task(Handle frame) : frame_(frame) {}
  Task(Task &&other) noexcept : frame_(std::exchange(other.frame_, {})) {}
  Task &operator=(Task &&other) noexcept {
    std::swap(frame_, other.frame_);
    return *this;
  }
  ~Task() {
    if (frame_) frame_.destroy();
  }

  bool await_ready() const { return false; }
  std::coroutine_handle<> await_suspend(std::coroutine_handle<> caller) {
    frame_.promise().continuation = caller;
    return frame_;
  }
  T await_resume() {
    if (frame_.promise().exception) std::rethrow_exception(frame_.promise().exception);
    return frame_.promise().takeValue();
  }
  // Runs it up to its first suspension, with nobody that awaits it.
  void start() { frame_.resume(); }

private:
  Handle frame_;
};

namespace detail {
template <class T> Task<T> Promise<T>::get_return_object() {
  return Task<T>(std::coroutine_handle<Promise>::from_promise(*this));
}
inline Task<void> Promise<void>::get_return_object() {
  return Task<void>(std::coroutine_handle<Promise>::from_promise(*this));
}
} // namespace detail

} // namespace myrtlehead::sched
