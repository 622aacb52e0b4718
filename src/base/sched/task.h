// A lazily started coroutine: it starts when it is awaited and returns one value, or throws an exception, to
// the coroutine that awaits it. A Task owns the coroutine frame: the destructor of the Task destroys the
// coroutine at the point where it is suspended.
#pragma once

#include <coroutine>
#include <exception>
#include <optional>
#include <utility>

namespace myrtlehead::sched {

template <class T> class Task;

namespace detail {

struct PromiseBase {
  // The coroutine that awaits this one, resumed when this one finishes.
  std::coroutine_handle<> continuation = std::noop_coroutine();
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

// A Task may be awaited or started at most once.
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
  // Runs the coroutine up to its first suspension, without a coroutine that awaits it.
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
