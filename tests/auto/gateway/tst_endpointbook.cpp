#define BOOST_TEST_MODULE tst_endpointbook
#include <boost/test/unit_test.hpp>

#include "gateway/endpointbook.h"

#include <string>

using namespace Lagoonbank;
using namespace Lagoonbank::Gateway;

namespace {

const Base::ServiceId service{"service"};
const Base::MonoTime start{std::chrono::hours(1)};

Fleet::Endpoint endpoint(const std::string &id)
{
    return {.id = Base::EndpointId(id), .service = service, .address = {"127.0.0.1", 80}};
}

} // namespace

BOOST_AUTO_TEST_CASE(endpointsOfAServiceStandInOneOrderOnEveryRouter)
{
    EndpointBook book({});
    for (const char *id : {"c", "a", "b"})
        book.put(endpoint(id), start);
    std::string order;
    for (const EndpointPtr &one : book.endpoints(service))
        order += one->info.id.value();
    BOOST_TEST(order == "abc");
    book.remove(Base::EndpointId("a"));
    BOOST_TEST(book.endpoints(service).size() == 2U);
    BOOST_TEST(book.endpoints(Base::ServiceId("other")).empty());
}

BOOST_AUTO_TEST_CASE(aNewStartAtAnAddressIsAnotherEndpoint)
{
    EndpointBook book({});
    book.put(endpoint("old"), start);
    const EndpointPtr old = book.find(Base::EndpointId("old"));
    book.suspicion().suspect(old->index, start);
    book.remove(Base::EndpointId("old"));
    BOOST_TEST(old->isGone);
    book.put(endpoint("new"), start);
    const EndpointPtr fresh = book.find(Base::EndpointId("new"));
    BOOST_TEST((book.suspicion().state(fresh->index) == Routing::Suspicion::State::Trusted));
    BOOST_TEST((book.findByHash(fresh->hash) == fresh));
    BOOST_TEST(!book.findByHash(old->hash));
}

BOOST_AUTO_TEST_CASE(loadIsTheReportAndWhatWasSentSince)
{
    EndpointBook book({});
    book.put(endpoint("a"), start);
    EndpointRecord &one = *book.find(Base::EndpointId("a"));
    book.requestSent(one);
    BOOST_TEST(book.load(one, start) == 1);
    book.loadReported(one, {.running = 4, .waiting = 2, .slots = 8}, start);
    BOOST_TEST(book.load(one, start) == 6);
    book.requestSent(one);
    book.requestSent(one);
    BOOST_TEST(book.load(one, start) == 8);
    book.requestEnded(one);
    book.requestEnded(one);
    book.requestEnded(one);
    BOOST_TEST(book.load(one, start) == 5);
}

BOOST_AUTO_TEST_CASE(anOldReportSaysNothing)
{
    EndpointBook book({});
    book.put(endpoint("a"), start);
    EndpointRecord &one = *book.find(Base::EndpointId("a"));
    book.loadReported(one, {.running = 9}, start);
    book.requestSent(one);
    BOOST_TEST(book.load(one, start + std::chrono::seconds(2)) == 10);
    BOOST_TEST(book.load(one, start + std::chrono::seconds(4)) == 1);
}

BOOST_AUTO_TEST_CASE(whatWasLearntFades)
{
    FadingMean mean;
    const Base::Duration halfLife = std::chrono::seconds(4);
    BOOST_TEST(mean.value(3, start, halfLife) == 3);
    mean.add(11, start);
    BOOST_TEST(mean.value(3, start, halfLife) == 11);
    BOOST_TEST(mean.value(3, start + halfLife, halfLife) == 7);
    FadingMean failures(0);
    failures.add(1, start);
    BOOST_TEST(failures.value(0, start, halfLife) < 0.4);
}
