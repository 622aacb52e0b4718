// Program of the simulator's adapter: reads batches from standard input and writes replies to standard
// output.
#include "adapter.h"

#include <cstdio>

namespace {

using namespace myrtlehead::wire;

constexpr std::size_t kMinFrameSize = 16;                   // bytes; the header of a batch
constexpr std::size_t kMaxFrameSize = std::size_t{1} << 30; // bytes

enum class ReadResult { complete, endOfInput };

// Reads exactly `size` bytes. Returns endOfInput if mayEnd is set and the input ends before the first byte.
// Throws WireError if the input ends anywhere else.
ReadResult readExactly(std::uint8_t *to, std::size_t size, bool mayEnd) {
  const auto readBytes = std::fread(to, 1, size, stdin);
  if (readBytes == size) return ReadResult::complete;
  if (readBytes == 0 && mayEnd && std::feof(stdin)) return ReadResult::endOfInput;
  throw WireError("truncated frame: standard input ended after " + std::to_string(readBytes) + " of " +
                  std::to_string(size) + " bytes");
}

void serve() {
  Adapter adapter;
  std::vector<std::uint8_t> frame;
  std::uint8_t length[4];
  while (readExactly(length, sizeof length, true) == ReadResult::complete) {
    const std::size_t size = Reader(length, sizeof length).u32();
    if (size < kMinFrameSize || size > kMaxFrameSize)
      throw WireError("frame length " + std::to_string(size) + " is out of range: expected " +
                      std::to_string(kMinFrameSize) + " to " + std::to_string(kMaxFrameSize) + " bytes");
    frame.resize(size);
    readExactly(frame.data(), size, false);
    Reader in(frame.data(), size);
    const auto &reply = adapter.processBatch(in);
    if (std::fwrite(reply.data(), 1, reply.size(), stdout) != reply.size() || std::fflush(stdout) != 0)
      throw WireError("the reply can't be written to standard output");
  }
}

} // namespace

int main() {
  try {
    serve();
  } catch (const std::exception &error) {
    std::fprintf(stderr, "myrtlehead_sim_adapter: %s\n", error.what());
    return 1;
  }
  return 0;
}
