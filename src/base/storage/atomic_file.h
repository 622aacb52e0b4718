// State that outlives the program: a file that is whole or not there. One header line says what it is, in
// which format, how long, with a checksum (XXH3); it is written beside its place, synced, and moved there.
#pragma once

#include <condition_variable>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>

namespace myrtlehead::storage {

// What a file must be to be believed.
struct Kind {
  std::string what; // "names"
  std::string of;   // whose: another instance's is foreign
  int format = 1;
};

struct Opened {
  enum Refusal { none, missing, foreign, otherFormat, torn } refusal = none;
  std::string payload; // where none
  std::string why;     // otherwise
};

std::string seal(const Kind &kind, std::string_view payload);
Opened open(std::string_view bytes, const Kind &kind);

// A file that is refused is set aside under its name with ".refused" behind it, so that nothing is lost.
Opened load(const std::string &path, const Kind &kind);
std::string save(const std::string &path, std::string_view bytes); // "", or why not

// Saves on a thread of its own, for a disk may take its time: the latest that was handed over, one after the
// other.
class Writer {
public:
  explicit Writer(std::string path) : path_(std::move(path)), thread_([this] { run(); }) {}
  ~Writer(); // what was handed over is saved first
  Writer(const Writer &) = delete;
  Writer &operator=(const Writer &) = delete;
  void put(std::string bytes);
  std::string lastFault(); // since it was last asked; "" for none

private:
  void run();
  const std::string path_;
  std::mutex mutex_;
  std::condition_variable handed_;
  std::string next_, fault_;
  bool waiting_ = false, over_ = false;
  std::thread thread_;
};

} // namespace myrtlehead::storage
