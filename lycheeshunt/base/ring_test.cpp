#include "lycheeshunt/base/ring.h"

#include <poll.h>

#include <thread>

#include <CppUTest/TestHarness.h>

using lycheeshunt::base::ring;

namespace {

bool isReadable(int descriptor)
{
    pollfd watched {descriptor, POLLIN, 0};
    return ::poll(&watched, 1, 0) == 1;
}

} // namespace

TEST_GROUP(ring) {};

TEST(ring, keepsOrder)
{
    ring<int> numbers(3);
    CHECK(numbers.tryPush(1));
    CHECK(numbers.tryPush(2));
    LONGS_EQUAL(1, *numbers.tryPop());
    LONGS_EQUAL(2, *numbers.tryPop());
    CHECK_FALSE(numbers.tryPop().has_value());
}

TEST(ring, countsDroppedItemsWhenFull)
{
    ring<int> numbers(1);
    CHECK(numbers.tryPush(1));
    CHECK_FALSE(numbers.tryPush(2));
    LONGS_EQUAL(1, numbers.dropped());
    LONGS_EQUAL(1, *numbers.tryPop());
}

TEST(ring, descriptorIsReadableWhileItHoldsAnItem)
{
    ring<int> numbers(4);
    CHECK_FALSE(isReadable(numbers.descriptor()));
    numbers.tryPush(1);
    numbers.tryPush(2);
    numbers.tryPop();
    CHECK(isReadable(numbers.descriptor()));
    numbers.tryPop();
    CHECK_FALSE(isReadable(numbers.descriptor()));
}

TEST(ring, closingWakesAWaitingProducer)
{
    ring<int> numbers(1);
    numbers.push(1);
    bool pushed = true;
    std::thread producer([&]() { pushed = numbers.push(2); });
    numbers.close();
    producer.join();
    CHECK_FALSE(pushed);
    LONGS_EQUAL(1, *numbers.pop());
    CHECK_FALSE(numbers.pop().has_value());
    CHECK(isReadable(numbers.descriptor()));
}

TEST(ring, aWaitingProducerContinuesWhenThereIsRoom)
{
    ring<int> numbers(1);
    numbers.push(1);
    std::thread producer([&]() { numbers.push(2); });
    LONGS_EQUAL(1, *numbers.pop());
    LONGS_EQUAL(2, *numbers.pop());
    producer.join();
}
