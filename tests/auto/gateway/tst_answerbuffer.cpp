#define BOOST_TEST_MODULE tst_answerbuffer
#include "gateway/answerbuffer.h"

#include <boost/test/unit_test.hpp>

#include <cstddef>
#include <string>

using namespace Lagoonbank;

// Guards against buffers of answers that occupy twice the memory of their bytes.

BOOST_AUTO_TEST_CASE(bufferOccupiesLittleMoreThanItsBytes)
{
    constexpr std::size_t pieceBytes = 64 * 1024;
    constexpr std::size_t maxExcessDivisor = 8;
    Gateway::AnswerMemory memory(std::size_t{8} * 1024 * 1024);
    Gateway::AnswerBuffer buffer(memory);
    const std::string piece(pieceBytes, 'x');
    for (std::size_t size = pieceBytes; size <= 64 * pieceBytes; size += pieceBytes) {
        buffer.append(piece);
        BOOST_TEST(buffer.bytes() >= size);
        BOOST_TEST(buffer.bytes() <= size + size / maxExcessDivisor + pieceBytes);
    }
    BOOST_TEST(buffer.take().size() == 64 * pieceBytes);
    BOOST_TEST(buffer.bytes() == 0U);
}
