package dgbackend
