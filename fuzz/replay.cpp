// Replays a corpus without libFuzzer: runs the fuzz target on each file in the folders given as arguments.
// The exit code is 1 if there are no files.
#include <cstdint>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <vector>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size);

int main(int argc, char **argv) {
  int inputCount = 0;
  for (int i = 1; i < argc; ++i)
    for (const auto &file : std::filesystem::directory_iterator(argv[i])) {
      std::ifstream in(file.path(), std::ios::binary);
      const std::vector<char> bytes{std::istreambuf_iterator<char>(in), {}};
      LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t *>(bytes.data()), bytes.size());
      ++inputCount;
    }
  std::printf("%d inputs replayed\n", inputCount);
  return inputCount > 0 ? 0 : 1;
}
