// State files that are either complete or not there: written beside their place, synced, and renamed into it.
// One header line says what the file holds, whose it is, in which format, its length and checksum (XXH3).
#pragma once

#include <condition_variable>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>

namespace myrtlehead::storage {

// What a file must be to be accepted.
struct FileIdentity {
  std::string content; // "names"
  std::string owner;   // the instance's name: another instance's file is foreign
  int format = 1;
};

enum class LoadStatus {
  loaded,
  missing,
  foreign, // no file of this program, of other content, or another instance's
  unsupportedFormat,
  corrupted, // truncated or changed: length or checksum differ
};

struct LoadResult {
  LoadStatus status = LoadStatus::loaded;
  std::string payload; // where loaded
  std::string problem; // otherwise, in words
};

// The file's bytes: header line and payload.
std::string encode(const FileIdentity &identity, std::string_view payload);
LoadResult decode(std::string_view bytes, const FileIdentity &identity);

// Reads and decodes a file of at most 64 MiB. One that is rejected is renamed to its name with ".refused"
// behind it, so that nothing is lost.
LoadResult load(const std::string &path, const FileIdentity &identity);

struct SaveError {
  enum class Step { open, write, replace, syncFolder };
  Step step;
  std::string path;
  int errorNumber = 0; // errno
  std::string message() const;
};

// Replaces the file atomically. nullopt: it is on disk.
std::optional<SaveError> save(const std::string &path, std::string_view bytes);

// Saves on a thread of its own, since a disk may be slow. Of contents submitted while it is busy only the
// latest is saved.
class AtomicFileWriter {
public:
  explicit AtomicFileWriter(std::string path) : path_(std::move(path)), thread_([this] { run(); }) {}
  ~AtomicFileWriter(); // saves what was submitted first
  AtomicFileWriter(const AtomicFileWriter &) = delete;
  AtomicFileWriter &operator=(const AtomicFileWriter &) = delete;
  void submit(std::string bytes);
  std::optional<SaveError> takeLastError(); // since it was last taken

private:
  void run();

  const std::string path_;
  std::mutex mutex_;
  std::condition_variable submitted_;
  std::optional<std::string> next_; // guarded by mutex_, as are the next two
  std::optional<SaveError> lastError_;
  bool isClosing_ = false;
  std::thread thread_;
};

} // namespace myrtlehead::storage
