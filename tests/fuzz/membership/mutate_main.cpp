// Runs the fuzz target's entry point over random mutations of the inputs of a folder. Each input
// depends only on the seed and its index, so that a failure can be repeated on its own: the last
// argument is the first index.
#include <algorithm>
#include <array>
#include <csignal>
#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include <unistd.h>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size);

namespace {

using Random = std::mt19937_64;

constexpr std::size_t maxInputBytes = 100000;
volatile std::uint64_t currentIndex = 0;

/// Values at the edges of what the decoders accept.
constexpr std::array<std::string_view, 24> oddTexts{"-1",
                                                    "0",
                                                    "1e300",
                                                    "-1e300",
                                                    "1e999",
                                                    "1.5",
                                                    "9223372036854775807",
                                                    "9223372036854775808",
                                                    "18446744073709551615",
                                                    "18446744073709551616",
                                                    "2147483647",
                                                    "2147483648",
                                                    "null",
                                                    "true",
                                                    "[]",
                                                    "{}",
                                                    "\"\"",
                                                    "\\u0000",
                                                    "\\udc80",
                                                    "\xff",
                                                    "127.0.0.1:70000",
                                                    "%26",
                                                    "\r\n",
                                                    "NaN"};

std::size_t below(Random &random, std::size_t end)
{
    return end == 0 ? 0 : static_cast<std::size_t>(random() % end);
}

/// Replaces a number or word of a text format by an odd one.
void replaceToken(Random &random, std::string &input)
{
    const auto isTokenCharacter = [](char c) {
        return (c >= '0' && c <= '9') || c == '.' || c == '-' || (c >= 'a' && c <= 'z');
    };
    std::size_t begin = below(random, input.size());
    while (begin < input.size() && !isTokenCharacter(input[begin]))
        ++begin;
    std::size_t end = begin;
    while (end < input.size() && isTokenCharacter(input[end]))
        ++end;
    input.replace(begin, end - begin, oddTexts.at(below(random, oddTexts.size())));
}

void mutateOnce(Random &random, std::string &input, const std::vector<std::string> &corpus)
{
    constexpr std::uint64_t mutationCount = 9;
    constexpr std::size_t maxRepetition = 64;
    const std::size_t at = below(random, input.size() + 1);
    const std::size_t other = below(random, input.size() + 1);
    switch (random() % mutationCount) {
    case 0:
        if (at < input.size())
            input[at] = static_cast<char>(input[at] ^ static_cast<char>(1U << (random() % 8)));
        break;
    case 1:
        if (at < input.size())
            input[at] = static_cast<char>(random());
        break;
    case 2:
        input.insert(at, 1, static_cast<char>(random()));
        break;
    case 3:
        input.erase(at, below(random, maxRepetition));
        break;
    case 4:
        input.insert(at, input.substr(other, below(random, maxRepetition)));
        break;
    case 5:
        input.insert(at, oddTexts.at(below(random, oddTexts.size())));
        break;
    case 6: {
        const std::string &donor = corpus.at(below(random, corpus.size()));
        input = input.substr(0, at) + donor.substr(below(random, donor.size()));
        break;
    }
    case 7:
        input.insert(at, below(random, maxRepetition), "[{\"\xff\x00"[random() % 5]);
        break;
    default:
        replaceToken(random, input);
        break;
    }
    if (input.size() > maxInputBytes)
        input.resize(maxInputBytes);
}

void run(std::uint64_t seed, std::uint64_t index, const std::vector<std::string> &corpus)
{
    constexpr std::size_t maxMutations = 6;
    constexpr std::uint64_t oddFactor = 0x9e3779b97f4a7c15;
    Random random(seed * oddFactor + index);
    std::string input = corpus.at(index % corpus.size());
    const std::size_t mutations = 1 + below(random, maxMutations);
    for (std::size_t i = 0; i < mutations; ++i)
        mutateOnce(random, input, corpus);
    currentIndex = index;
    LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t *>(input.data()), input.size());
}

std::vector<std::string> readCorpus(const char *folder)
{
    std::vector<std::filesystem::path> paths;
    for (const auto &entry : std::filesystem::directory_iterator(folder))
        paths.push_back(entry.path());
    std::ranges::sort(paths);
    std::vector<std::string> corpus;
    for (const auto &path : paths) {
        std::ifstream file(path, std::ios::binary);
        corpus.emplace_back(std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>());
    }
    return corpus;
}

void reportFailure(int signal)
{
    std::array<char, 64> text{};
    const int size = std::snprintf(text.data(), text.size(), "failed at input %llu\n",
                                   static_cast<unsigned long long>(currentIndex));
    static_cast<void>(write(STDERR_FILENO, text.data(), static_cast<std::size_t>(size)));
    std::signal(signal, SIG_DFL);
    std::raise(signal);
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 4 && argc != 5) {
        std::fputs("usage: mutate <folder> <seed> <count> [<first index>]\n", stderr);
        return 2;
    }
    const std::vector<std::string> corpus = readCorpus(argv[1]);
    if (corpus.empty())
        return 1;
    const std::uint64_t seed = std::strtoull(argv[2], nullptr, 10);
    const std::uint64_t count = std::strtoull(argv[3], nullptr, 10);
    const std::uint64_t first = argc == 5 ? std::strtoull(argv[4], nullptr, 10) : 0;
    std::signal(SIGABRT, reportFailure);
    for (std::uint64_t index = first; index < first + count; ++index)
        run(seed, index, corpus);
    std::printf("ran %llu inputs with seed %llu\n", static_cast<unsigned long long>(count),
                static_cast<unsigned long long>(seed));
    return 0;
}
