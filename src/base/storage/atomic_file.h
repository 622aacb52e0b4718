// State files that are replaced atomically: the new content is written to a temporary file in the same
// directory, synced to disk and renamed over the old file. The first line is a header with the kind of
// content, the owner, the format version, and the length and the XXH3 checksum of the payload.
#pragma once

#include <condition_variable>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>

namespace myrtlehead::storage {

// The header values that a file must have to be accepted.
struct FileIdentity {
  std::string content; // the kind of content, such as "names"
  std::string owner;   // the name of the instance that writes the file
  int format = 1;      // the format version of the payload
};

enum class LoadStatus {
  loaded,
  missing,
  foreign, // the file belongs to another program or instance, or has another kind of content
  unsupportedFormat,
  corrupted, // the file is empty or too large, or its length or checksum does not match the header
};

struct LoadResult {
  LoadStatus status = LoadStatus::loaded;
  std::string payload; // valid if the status is `loaded`
  std::string problem; // a description for the log, empty if the status is `loaded`
};

// Returns the bytes of a file: the header line and the payload.
std::string encode(const FileIdentity &identity, std::string_view payload);
// Checks the header against `identity` and the payload against the header. Never returns `missing`.
LoadResult decode(std::string_view bytes, const FileIdentity &identity);

// Reads and decodes a file of at most 64 MiB. A rejected file is renamed by appending ".refused" to its name,
// so that the next save does not overwrite it.
LoadResult load(const std::string &path, const FileIdentity &identity);

// The step of save() that failed, with the file and the errno.
struct SaveError {
  enum class Step { open, write, replace, syncDirectory };
  Step step;
  std::string path;
  int errorNumber = 0; // errno value
  std::string message() const;
};

// Replaces the file atomically. Returns nullopt if the new content has been synced to disk.
std::optional<SaveError> save(const std::string &path, std::string_view bytes);

// Saves a file on a separate thread, so that a slow disk does not block the caller. If several contents are
// submitted during a save, only the latest is saved.
class AtomicFileWriter {
public:
  explicit AtomicFileWriter(std::string path) : path_(std::move(path)), thread_([this] { run(); }) {}
  // Saves the content that is still pending, then stops the thread.
  ~AtomicFileWriter();
  AtomicFileWriter(const AtomicFileWriter &) = delete;
  AtomicFileWriter &operator=(const AtomicFileWriter &) = delete;
  // Schedules a save of `bytes` and returns without waiting for it.
  void submit(std::string bytes);
  // Returns the latest error since the previous call and clears it.
  std::optional<SaveError> takeLastError();

private:
  void run();

  const std::string path_;
  std::mutex mutex_;
  std::condition_variable submitted_;
  std::optional<std::string> pendingBytes_; // guarded by mutex_
  std::optional<SaveError> lastError_;      // guarded by mutex_
  bool isClosing_ = false;                  // guarded by mutex_
  std::thread thread_;
};

} // namespace myrtlehead::storage
