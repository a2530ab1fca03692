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

BOOST_AUTO_TEST_CASE(linesComeWholeAndInOrder)
{
    Pipe pipe;
    BoundedOutput output({.descriptor = pipe.ends[1]});
    BOOST_TEST(output.write("one"));
    BOOST_TEST(output.write("two"));
    output.flush();
    BOOST_TEST(pipe.read(100) == "one\ntwo\n");
    BOOST_TEST(output.queuedBytes() == 0U);
}

BOOST_AUTO_TEST_CASE(aReaderThatDoesNotReadHoldsNothingUp)
{
    Pipe pipe;
    BoundedOutput output({.descriptor = pipe.ends[1], .capacity = 100000});
    const std::string line(1000, 'x');
    std::size_t taken = 0;
    for (int i = 0; i < 1000; ++i) {
        taken += output.write(line) ? 1 : 0;
        output.flush(); // Would never return if it waited: a pipe holds 64 KiB.
    }
    BOOST_TEST(taken < 1000U);
    BOOST_TEST(output.droppedLines() == 1000 - taken);
    BOOST_TEST(output.queuedBytes() <= 100000U);

    std::string all;
    while (all.size() < taken * 1001) {
        const std::string got = pipe.read(4096);
        if (got.empty())
            break;
        all += got;
        output.flush();
    }
    BOOST_TEST(all.size() == taken * 1001);
}

BOOST_AUTO_TEST_CASE(aReaderThatHasGoneIsNoError)
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
