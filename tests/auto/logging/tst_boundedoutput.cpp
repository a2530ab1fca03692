#define BOOST_TEST_MODULE tst_boundedoutput
#include <boost/test/unit_test.hpp>

#include "logging/boundedoutput.h"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <string>

using Lagoonbank::Logging::BoundedOutput;

namespace {

struct Pipe
{
    Pipe() { BOOST_REQUIRE_EQUAL(pipe(ends.data()), 0); }
    ~Pipe()
    {
        for (const int end : ends) {
            if (end >= 0)
                close(end);
        }
    }
    std::string read(std::size_t size)
    {
        std::string bytes(size, '\0');
        fcntl(ends[0], F_SETFL, O_NONBLOCK);
        const ssize_t got = ::read(ends[0], bytes.data(), size);
        bytes.resize(got < 0 ? 0 : static_cast<std::size_t>(got));
        return bytes;
    }

    std::array<int, 2> ends{};
};

} // namespace

BOOST_AUTO_TEST_CASE(writesCompleteLinesInOrder)
{
    Pipe pipe;
    BoundedOutput output({.descriptor = pipe.ends[1]});
    BOOST_TEST(output.write("one"));
    BOOST_TEST(output.write("two"));
    output.flush();
    BOOST_TEST(pipe.read(100) == "one\ntwo\n");
    BOOST_TEST(output.queuedBytes() == 0U);
}

BOOST_AUTO_TEST_CASE(slowReaderDoesNotBlock)
{
    Pipe pipe;
    BoundedOutput output({.descriptor = pipe.ends[1], .capacity = 100000});
    const std::string line(1000, 'x');
    std::size_t accepted = 0;
    for (int i = 0; i < 1000; ++i) {
        accepted += output.write(line) ? 1 : 0;
        output.flush(); // Would hang if it blocked: a pipe holds 64 KiB.
    }
    BOOST_TEST(accepted < 1000U);
    BOOST_TEST(output.droppedLines() == 1000 - accepted);
    BOOST_TEST(output.queuedBytes() <= 100000U);

    std::string all;
    while (all.size() < accepted * 1001) {
        const std::string got = pipe.read(4096);
        if (got.empty())
            break;
        all += got;
        output.flush();
    }
    BOOST_TEST(all.size() == accepted * 1001);
}

BOOST_AUTO_TEST_CASE(closedReaderIsNoError)
{
    std::signal(SIGPIPE, SIG_IGN);
    Pipe pipe;
    close(std::exchange(pipe.ends[0], -1));
    BoundedOutput output({.descriptor = pipe.ends[1], .capacity = 10});
    BOOST_TEST(output.write("one"));
    output.flush();
    BOOST_TEST(output.write("two"));
    BOOST_TEST(!output.write("three"));
    BOOST_TEST(output.droppedLines() == 1U);
}
