// Runs the fuzz target's entry point over a folder of inputs, each also truncated at every length
// and with every byte inverted in turn. Every run is identical.
#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size);

namespace {

void run(const std::string &input)
{
    LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t *>(input.data()), input.size());
}

void runWithVariants(const std::string &input)
{
    run(input);
    for (std::size_t size = 0; size < input.size(); ++size)
        run(input.substr(0, size));
    for (std::size_t i = 0; i < input.size(); ++i) {
        std::string changed = input;
        changed[i] = static_cast<char>(~changed[i]);
        run(changed);
    }
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 2) {
        std::fputs("usage: replay <folder>\n", stderr);
        return 2;
    }
    std::size_t count = 0;
    for (const auto &entry : std::filesystem::directory_iterator(argv[1])) {
        std::ifstream file(entry.path(), std::ios::binary);
        runWithVariants({std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()});
        ++count;
    }
    std::printf("replayed %zu inputs\n", count);
    return count > 0 ? 0 : 1;
}
