// A coroutine that starts when it is awaited and gives its caller one value. Its frame belongs to the Task,
// so that whoever drops the Task ends the coroutine, wherever it waits.
#pragma once

#include <coroutine>
#include <exception>
#include <optional>
#include <utility>

namespace myrtlehead::sched {

template <class T> class Task;

namespace detail {

struct PromiseBase {
  std::coroutine_handle<> caller = std::noop_coroutine();
  std::exception_ptr thrown;

  std::suspend_always initial_suspend() noexcept { return {}; }
  struct Final {
    bool await_ready() noexcept { return false; }
    template <class P> std::coroutine_handle<> await_suspend(std::coroutine_handle<P> h) noexcept {
      return h.promise().caller;
    }
    void await_resume() noexcept {}
  };
  Final final_suspend() noexcept { return {}; }
  void unhandled_exception() { thrown = std::current_exception(); }
};

template <class T> struct Promise : PromiseBase {
  std::optional<T> value;
  Task<T> get_return_object();
  template <class U> void return_value(U &&v) { value.emplace(std::forward<U>(v)); }
  T take() { return std::move(*value); }
};

template <> struct Promise<void> : PromiseBase {
  Task<void> get_return_object();
  void return_void() {}
  void take() {}
};

} // namespace detail

template <class T = void> class [[nodiscard]] Task {
public:
  using promise_type = detail::Promise<T>;
  using Handle = std::coroutine_handle<promise_type>;

  explicit Task(Handle h) : frame_(h) {}
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
    frame_.promise().caller = caller;
    return frame_;
  }
  T await_resume() {
    if (frame_.promise().thrown) std::rethrow_exception(frame_.promise().thrown);
    return frame_.promise().take();
  }
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
