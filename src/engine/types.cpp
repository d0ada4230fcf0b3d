#include "bronzestand/types.h"
